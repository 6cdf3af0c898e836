#include "include/fleet/PendingProof.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace waxwing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

struct Proof {
    std::uint64_t version = 0;
    Millis provenAfter{0};
};

/** Returns the time that is proven once @p versionInForce is in force, after proofs in the given order. */
std::optional<SteadyTime> provenAt(const std::vector<Proof> &proofs, std::uint64_t versionInForce)
{
    PendingProof pending;
    for (const Proof &proof : proofs) {
        pending.add(proof.version, start + proof.provenAfter);
    }
    return pending.take(versionInForce);
}

} // namespace

// Guards against a proof that is replaced by an older one of the same version, which arrived later by another path.
TEST_CASE("pending proof, older proof of the same version arrives last, the later time is kept")
{
    CHECK(provenAt({{2, Millis(400)}, {2, Millis(100)}}, 2) == start + Millis(400));
    CHECK(provenAt({{2, Millis(100)}, {2, Millis(400)}}, 2) == start + Millis(400));
}

// Guards against a proof that is replaced by an older one of a higher version, for which it holds as well.
TEST_CASE("pending proof, older proof of a higher version arrives last, the later time is kept")
{
    CHECK(provenAt({{2, Millis(400)}, {3, Millis(100)}}, 3) == start + Millis(400));
    CHECK(provenAt({{3, Millis(100)}, {2, Millis(400)}}, 3) == start + Millis(400));
    CHECK(provenAt({{2, Millis(400)}, {3, Millis(100)}}, 2) == start + Millis(400));
}

// Guards against a result that depends on which peer replies first.
TEST_CASE("pending proof, proofs in every order, the result is the same")
{
    std::vector<Proof> proofs = {{2, Millis(100)}, {3, Millis(400)}, {3, Millis(300)}, {4, Millis(200)}};
    const auto byTime = [](const Proof &a, const Proof &b) { return a.provenAfter < b.provenAfter; };
    std::sort(proofs.begin(), proofs.end(), byTime);
    int orders = 0;
    do {
        CHECK_FALSE(provenAt(proofs, 2));
        CHECK(provenAt(proofs, 3) == start + Millis(400));
        CHECK(provenAt(proofs, 4) == start + Millis(400));
        ++orders;
    } while (std::next_permutation(proofs.begin(), proofs.end(), byTime));
    CHECK(orders == 24);
}

// Guards against a proof that counts before its version is in force, or for a second time after a newer one.
TEST_CASE("pending proof, its version or a later one comes into force, is taken once")
{
    PendingProof pending;
    CHECK_FALSE(pending.take(1));
    pending.add(3, start);
    CHECK_FALSE(pending.take(2));
    CHECK(pending.take(4) == start);
    CHECK_FALSE(pending.take(4));
}
