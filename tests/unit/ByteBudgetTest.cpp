#include "include/flow/ByteBudget.h"

#include <doctest/doctest.h>

#include <vector>

using namespace waxwing;

namespace {

constexpr std::uint64_t kilobyte = 1024;
constexpr std::uint64_t megabyte = 1024 * kilobyte;
constexpr std::uint64_t downloadBytes = 540 * kilobyte;
constexpr std::uint64_t statusBytes = 2 * kilobyte;
const SteadyTime start = SteadyTime(std::chrono::hours(1));

/** A budget that has seen a response of a download and of a status route. */
struct Learned {
    Learned()
    {
        learn("download", downloadBytes);
        learn("status", statusBytes);
    }

    void learn(const std::string &route, std::uint64_t bytes)
    {
        const auto id = budget.reserve(route, 0);
        REQUIRE(id);
        budget.addResponse(*id, bytes, start);
        budget.release(*id, start);
    }

    /** Reserves up to @p wanted requests of @p route and returns those that were admitted. */
    std::vector<ByteBudget::Id> reserveMany(const std::string &route, int wanted)
    {
        std::vector<ByteBudget::Id> ids;
        for (int i = 0; i < wanted; ++i) {
            if (const auto id = budget.reserve(route, 0)) {
                ids.push_back(*id);
            }
        }
        return ids;
    }

    ByteBudget budget;
};

} // namespace

TEST_CASE_FIXTURE(Learned,
                  "byte budget, 500 downloads to slow readers, are admitted up to the bound before any response")
{
    // Guards against responses that are counted only once they are in memory: all 500 would be admitted by then.
    const auto admitted = reserveMany("download", 500);
    CHECK(admitted.size() > 30);
    CHECK(admitted.size() * downloadBytes <= 24 * megabyte);
    CHECK(budget.reservedBytes() <= 24 * megabyte);
    CHECK(budget.heldBytes() == 0);
}

TEST_CASE_FIXTURE(Learned, "byte budget, 500 slow readers beside ordinary load, refuses no small request")
{
    reserveMany("download", 500);
    CHECK(reserveMany("status", 300).size() == 300);
}

TEST_CASE_FIXTURE(Learned, "byte budget, burst of small requests, leaves the part of the large ones alone")
{
    const auto small = reserveMany("status", 100000);
    CHECK(small.size() * statusBytes <= 6 * megabyte);
    CHECK(reserveMany("download", 20).size() == 20);
}

TEST_CASE_FIXTURE(Learned, "byte budget, slow readers that finish, make room for as many new requests")
{
    const auto first = reserveMany("download", 500);
    for (const auto id : first) {
        budget.addResponse(id, downloadBytes, start);
    }
    CHECK(budget.heldBytes() == first.size() * downloadBytes);
    CHECK(!budget.reserve("download", 0));
    for (const auto id : first) {
        budget.release(id, start);
    }
    CHECK(budget.reservedBytes() == 0);
    CHECK(reserveMany("download", 500).size() == first.size());
}

TEST_CASE("byte budget, route without a response, its requests in progress count with the size of the first one")
{
    // A node that has just started meets 500 downloads at once.
    ByteBudget budget;
    std::vector<ByteBudget::Id> ids;
    ids.reserve(50);
    for (int i = 0; i < 50; ++i) {
        ids.push_back(budget.reserve("download", 0).value());
    }
    budget.addResponse(ids.front(), downloadBytes, start);
    CHECK(budget.reservedBytes() == 50 * downloadBytes);
    CHECK(!budget.reserve("download", 0));
}

TEST_CASE("byte budget, responses far larger than expected, the slowest reader is given up beyond twice the bound")
{
    // Guards against a node that is killed at its memory limit because it had admitted requests of unknown size.
    ByteBudgetTuning tuning;
    tuning.unknownBytes = 32 * kilobyte;
    ByteBudget budget(tuning);
    std::vector<ByteBudget::Id> ids;
    ids.reserve(100);
    for (int i = 0; i < 100; ++i) {
        ids.push_back(budget.reserve("download", 0).value());
    }
    for (int i = 0; i < 91; ++i) {
        budget.addResponse(ids[static_cast<std::size_t>(i)], downloadBytes, start);
    }
    CHECK(!budget.findExcess(start + Millis(2000)));
    for (int i = 0; i < 90; ++i) {
        budget.noteProgress(ids[static_cast<std::size_t>(i)], i == 40 ? 1000 : 100000);
    }
    budget.noteProgress(ids[90], 100000);
    for (int i = 91; i < 100; ++i) {
        budget.addResponse(ids[static_cast<std::size_t>(i)], downloadBytes, start + Millis(2000));
    }
    CHECK(budget.findExcess(start + Millis(2000)) == ids[40]);
    budget.release(ids[40], start + Millis(2000));
    CHECK(budget.findExcess(start + Millis(2000)) != ids[40]);
}

TEST_CASE("byte budget, request with a large body, counts while it waits for its response")
{
    ByteBudget budget;
    const auto id = budget.reserve("upload", 900 * kilobyte);
    REQUIRE(id);
    CHECK(budget.heldBytes() == 900 * kilobyte);
    budget.addResponse(*id, statusBytes, start);
    CHECK(budget.heldBytes() == statusBytes);
}

TEST_CASE("byte budget, one response larger than the whole bound, is admitted on an idle node only")
{
    ByteBudget budget;
    const auto first = budget.reserve("archive", 0);
    budget.addResponse(*first, 40 * megabyte, start);
    CHECK(!budget.reserve("archive", 0));
    budget.release(*first, start);
    CHECK(budget.reserve("archive", 0));
    CHECK(!budget.reserve("archive", 0));
}

TEST_CASE_FIXTURE(Learned, "byte budget, refused request, Retry-After follows the rate at which readers finish")
{
    const auto ids = reserveMany("download", 500);
    for (const auto id : ids) {
        budget.addResponse(id, downloadBytes, start);
    }
    const SteadyTime later = start + std::chrono::minutes(1);
    CHECK(budget.retryAfter("download", later) == std::chrono::seconds(10));
    for (std::size_t i = 0; i < 6; ++i) {
        budget.release(ids[i], later);
    }
    while (budget.reserve("download", 0)) { }
    const Millis retryAfter = budget.retryAfter("download", later);
    CHECK(retryAfter >= Millis(200));
    CHECK(retryAfter < std::chrono::seconds(3));
}

TEST_CASE_FIXTURE(Learned, "byte budget, request that ends without a response, holds nothing any more")
{
    const auto ids = reserveMany("download", 10);
    for (const auto id : ids) {
        budget.release(id, start);
        budget.release(id, start);
    }
    CHECK(budget.reservedBytes() == 0);
    CHECK(budget.count() == 0);
}
