#include "include/flow/MemoryBudget.h"
#include "include/base/Body.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace waxwing;

namespace {

constexpr std::uint64_t megabyte = 1024UL * 1024;

/** Returns true if a further body of @p bytes fits; it is dropped at once. */
bool hasRoom(MemoryBudget &budget, std::uint64_t bytes)
{
    return budget.reserve(bytes) != nullptr;
}

} // namespace

// Guards against a bound on bodies that leaves no memory for the records and links of a large fleet.
TEST_CASE("memory budget, process that needs much memory for itself, leaves the rest to bodies")
{
    CHECK(bodyBytesWithin(256 * megabyte, 10 * megabyte) > 128 * megabyte);
    CHECK(bodyBytesWithin(256 * megabyte, 10 * megabyte) < 160 * megabyte);
    CHECK(bodyBytesWithin(256 * megabyte, 121 * megabyte) + 121 * megabyte < 256 * megabyte);
    CHECK(bodyBytesWithin(128 * megabyte, 10 * megabyte) > 64 * megabyte);
}

// Guards against a process that has outgrown its bound and refuses every request from then on.
TEST_CASE("memory budget, process that uses all its memory, keeps room for small bodies")
{
    CHECK(bodyBytesWithin(128 * megabyte, 200 * megabyte) > 10 * megabyte);
    CHECK(bodyBytesWithin(128 * megabyte, 128 * megabyte) > 10 * megabyte);
}

// Guards against a process that ends by its memory because each body alone is within its limit.
TEST_CASE("memory budget, bodies beyond the bound, are refused until others have ended")
{
    MemoryBudget budget(100 * megabyte);
    std::vector<MemoryBudget::ChargePtr> charges;
    while (MemoryBudget::ChargePtr charge = budget.reserve(4 * megabyte)) {
        charges.push_back(std::move(charge));
        REQUIRE(charges.size() < 100);
    }
    CHECK(budget.heldBytes() == charges.size() * 4 * megabyte);
    CHECK(budget.heldBytes() <= 100 * megabyte);
    CHECK(budget.heldBytes() >= 80 * megabyte);
    charges.pop_back();
    CHECK(hasRoom(budget, 4 * megabyte));
}

// Guards against small requests that are refused because large bodies are in progress.
TEST_CASE("memory budget, large bodies use up their part, small ones are accepted")
{
    MemoryBudget budget(100 * megabyte);
    const MemoryBudget::ChargePtr large = budget.reserve(87 * megabyte);
    const bool isAccepted = large != nullptr;
    REQUIRE(isAccepted);
    REQUIRE_FALSE(hasRoom(budget, megabyte));
    CHECK(hasRoom(budget, MemoryBudget::smallBytes));
}

// Guards against a body in chunks that grows beyond the bound after it was accepted.
TEST_CASE("memory budget, body of unknown length, grows up to the bound")
{
    MemoryBudget budget(10 * megabyte);
    const MemoryBudget::ChargePtr charge = budget.reserve(0);
    const bool isAccepted = charge != nullptr;
    REQUIRE(isAccepted);
    std::uint64_t grown = 0;
    while (charge->grow(megabyte)) {
        grown += megabyte;
        REQUIRE(grown <= 10 * megabyte);
    }
    CHECK(budget.heldBytes() == grown);
}

// Guards against responses that are dropped because there is no room for them, and against requests read beside them.
TEST_CASE("memory budget, bodies that are in memory already, count and may exceed the bound")
{
    MemoryBudget budget(10 * megabyte);
    std::optional<MemoryBudget::ChargePtr> response = budget.add(11 * megabyte);
    CHECK(budget.isExceeded());
    CHECK_FALSE(hasRoom(budget, 1));
    response.reset();
    CHECK_FALSE(budget.isExceeded());
    CHECK(hasRoom(budget, 1));
    CHECK(budget.peakBytes() == 11 * megabyte);
}

// Guards against a request that is in memory once for each attempt, queue and message that holds it.
TEST_CASE("body, copies, share the bytes and their charge")
{
    std::optional<Body> copy;
    MemoryBudget budget(10 * megabyte);
    {
        const Body body(std::string(megabyte, 'x'), budget.reserve(megabyte));
        copy = body;
        CHECK(copy->text().data() == body.text().data());
    }
    CHECK(copy->size() == megabyte);
    CHECK(budget.heldBytes() == megabyte);
    copy.reset();
    CHECK(budget.heldBytes() == 0);
}
