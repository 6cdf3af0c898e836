#include "tests/soak/Schedule.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace waxwing;
using namespace waxwing::soak;

namespace {

constexpr Millis length{20000};
constexpr int nodes = 4;

std::string textOf(const std::vector<Fault> &faults)
{
    std::string text;
    for (const Fault &fault : faults) {
        text += fault.text() + "\n";
    }
    return text;
}

} // namespace

// Guards against a red seed that can't be replayed.
TEST_CASE("soak schedule, same seed, gives the same faults, and another seed gives others")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const std::string text = textOf(makeSchedule(seed, length, nodes));
        CHECK(text == textOf(makeSchedule(seed, length, nodes)));
        CHECK(text != textOf(makeSchedule(seed + 1, length, nodes)));
    }
}

// Guards against schedules that leave out a kind of fault, or in which faults never or always overlap.
TEST_CASE("soak schedule, fifty seeds, have every kind of fault, in series and overlapping")
{
    std::set<FaultKind> kinds;
    int overlapping = 0;
    int inSeries = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const std::vector<Fault> faults = makeSchedule(seed, length, nodes);
        REQUIRE_FALSE(faults.empty());
        for (std::size_t i = 0; i < faults.size(); ++i) {
            kinds.insert(faults[i].kind);
            const bool overlaps = i > 0
                                  && std::any_of(faults.begin(), faults.begin() + static_cast<std::ptrdiff_t>(i),
                                                 [&](const Fault &one) { return one.end() > faults[i].start; });
            overlapping += overlaps ? 1 : 0;
            inSeries += overlaps ? 0 : 1;
        }
    }
    CHECK(kinds.size() == static_cast<std::size_t>(FaultKind::KeyTakenAway) + 1);
    CHECK(overlapping > 50);
    CHECK(inSeries > 50);
}

// Guards against a fault that sets back another one of the same process while that is in effect.
TEST_CASE("soak schedule, faults of one resource, don't overlap")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const std::vector<Fault> faults = makeSchedule(seed, length, nodes);
        for (std::size_t i = 0; i < faults.size(); ++i) {
            for (std::size_t other = 0; other < i; ++other) {
                const bool overlap = faults[other].end() > faults[i].start;
                CHECK_FALSE((overlap && faults[i].sharesResource(faults[other])));
            }
        }
    }
}
