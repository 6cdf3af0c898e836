#include "include/base/TokenBucket.h"
#include "include/limit/FairQueue.h"
#include "include/limit/RetryBudget.h"
#include "include/member/RecordTable.h"
#include "include/member/Ring.h"
#include "include/poison/PoisonRegistry.h"
#include "include/report/BurnRecorder.h"
#include "include/route/HomeChooser.h"
#include "tests/support/HomeRig.h"
#include "tests/support/ManualClock.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

QueuedRequest queued(std::uint64_t id, const std::string &className, const std::string &customer)
{
    return QueuedRequest{id, className, customer, start + std::chrono::seconds(static_cast<long>(id))};
}

Record recordOf(const std::string &key, std::uint64_t version)
{
    return Record{RecordKind::Service, key, RecordVersion{version, 0}, {1}};
}

} // namespace

TEST_CASE("fair queue, one customer with many requests, does not delay another's first")
{
    FairQueue queue(100);
    for (std::uint64_t id = 1; id <= 50; ++id) {
        queue.push(queued(id, "read", "busy"));
    }
    queue.push(queued(51, "read", "quiet"));
    queue.push(queued(52, "book", "quiet"));
    std::vector<std::uint64_t> order;
    QueuedRequest next;
    while (order.size() < 4 && queue.pop([](const QueuedRequest &) { return true; }, next)) {
        order.push_back(next.id);
    }
    CHECK(std::count(order.begin(), order.end(), 51) == 1);
    CHECK(std::count(order.begin(), order.end(), 52) == 1);
}

TEST_CASE("fair queue, full or expired or cancelled, refuses and removes exactly those")
{
    FairQueue queue(2);
    CHECK(queue.push(queued(1, "read", "a")));
    CHECK(queue.push(queued(5, "read", "a")));
    CHECK_FALSE(queue.push(queued(6, "read", "b")));
    CHECK(queue.push(queued(7, "book", "b")));
    const auto expired = queue.takeExpired(start + std::chrono::seconds(2));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].id == 1);
    CHECK(queue.remove(7));
    CHECK_FALSE(queue.remove(7));
    CHECK(queue.size() == 1);
}

TEST_CASE("retry budget, every attempt fails, retries stay a tenth")
{
    RetryBudget budget(0.1, 10.0);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.noteAttempt();
        retries += budget.tryRetry() ? 1 : 0;
    }
    CHECK(retries >= 100);
    CHECK(retries <= 111);
}

TEST_CASE("token bucket, spent below zero, refuses until it has refilled")
{
    TokenBucket bucket(10.0, 10.0, start);
    CHECK(bucket.tryTake(10.0, start));
    CHECK_FALSE(bucket.tryTake(1.0, start));
    bucket.take(5.0, start);
    CHECK_FALSE(bucket.hasAny(start + Millis(500)));
    CHECK(bucket.hasAny(start + Millis(600)));
}

TEST_CASE("poison registry, same crash reported twice, counts once and the second crash refuses")
{
    ManualClock clock;
    PoisonRegistry registry(clock, std::chrono::minutes(5));
    CHECK(registry.noteDeath(7, "a@1"));
    CHECK_FALSE(registry.noteDeath(7, "a@1"));
    CHECK_FALSE(registry.mustRefuse(7));
    CHECK(registry.noteDeath(7, "a@2"));
    CHECK(registry.mustRefuse(7));
    clock.advance(std::chrono::minutes(5));
    registry.expire();
    CHECK(registry.size() == 0);
}

TEST_CASE("record table, versions in any order, ends with the highest everywhere")
{
    // Updates of a configuration arrive over several paths, late and out of order. No node may return to an older
    // version, and two nodes that compare digests must end with the same records.
    std::mt19937_64 random(3);
    RecordTable a;
    RecordTable b;
    for (int i = 0; i < 500; ++i) {
        const Record record = recordOf("s" + std::to_string(random() % 40), random() % 100);
        const Record *before = a.find(RecordKind::Service, record.key);
        const std::uint64_t held = before == nullptr ? 0 : before->version.major;
        a.merge(record);
        CHECK(a.find(RecordKind::Service, record.key)->version.major >= held);
        if (random() % 3 == 0) {
            b.merge(recordOf("s" + std::to_string(random() % 40), random() % 100));
        }
    }
    for (const std::uint32_t bucket : a.differingBuckets(b.bucketHashes())) {
        for (const Record &record : a.newerThan(bucket, b.namesIn(bucket))) {
            b.merge(record);
        }
        for (const Record &record : b.newerThan(bucket, a.namesIn(bucket))) {
            a.merge(record);
        }
    }
    CHECK(a.differingBuckets(b.bucketHashes()).empty());
    CHECK(a.size() == b.size());
    a.drop(RecordKind::Service, "s1");
    b.drop(RecordKind::Service, "s1");
    CHECK(a.bucketHashes() == b.bucketHashes());
}

TEST_CASE("gossip ring, any size, reaches every node in few steps")
{
    for (const int size : {2, 3, 7, 64, 500}) {
        std::vector<std::string> ids;
        ids.reserve(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i) {
            ids.push_back("node-" + std::to_string(i));
        }
        std::set<std::string> reached = {ids[0]};
        int steps = 0;
        while (reached.size() < ids.size() && steps < 20) {
            std::set<std::string> next = reached;
            for (const std::string &id : reached) {
                for (const std::string &partner : gossipPartners(id, ids)) {
                    next.insert(partner);
                }
            }
            reached = std::move(next);
            ++steps;
        }
        CHECK(reached.size() == ids.size());
        CHECK(steps <= 9);
    }
    CHECK(gossipPartners("alone", {"alone"}).empty());
}

TEST_CASE("home chooser, near home busy or path failed, goes farther and returns as a last resort")
{
    HomeChooser chooser([] { return 0; });
    const NodeRef near{"near", 1};
    const NodeRef far{"far", 1};
    const std::vector<HomeCandidate> both = {{near, Distance::SameZone, 2}, {far, Distance::OtherRegion, 2}};
    CHECK(chooser.choose("s", both, {}, start)->node == near);
    chooser.noteLoad("s", near, 0, 3, start);
    CHECK(chooser.choose("s", both, {}, start)->node == far);
    CHECK(chooser.choose("s", both, {}, start + std::chrono::seconds(3))->node == near);
    chooser.notePathFailure(near, start);
    CHECK(chooser.choose("s", both, {}, start)->node == far);
    CHECK(chooser.choose("s", {both[0]}, {}, start)->node == near);
    CHECK(chooser.choose("s", both, {near, far}, start) == nullptr);
}

TEST_CASE("burn rates, one bad in a hundred against 99.5%, burn at twice the allowed rate")
{
    ManualClock clock;
    BurnRecorder recorder(clock);
    for (int i = 0; i < 100; ++i) {
        recorder.record("s", "c", i == 0 ? BurnResult::Late : BurnResult::Good);
    }
    const auto rates = burnRates(recorder.slices().at("s/c"), 0.995, clock.wallNow());
    REQUIRE(rates.size() == 3);
    CHECK(rates[0].burn == doctest::Approx(2.0));
    clock.advance(std::chrono::hours(2));
    const auto later = burnRates(recorder.slices().at("s/c"), 0.995, clock.wallNow());
    CHECK(later[0].counts.total() == 0);
    CHECK(later[1].counts.total() == 100);
    for (int hour = 0; hour < 100; ++hour) {
        recorder.record("s", "c", BurnResult::Good);
        clock.advance(std::chrono::minutes(30));
    }
    CHECK(recorder.slices().at("s/c").size() <= 80);
    CHECK(burnRates(recorder.slices().at("s/c"), 0.995, clock.wallNow())[2].counts.total() == 200);
}

TEST_CASE("service home, slow class beside a fast one, does not take all slots")
{
    // One request in ten takes 75 times as long as the rest. Slow requests succeed, but without a limit they hold every
    // slot, and fast requests wait behind them until they time out.
    RigOptions options;
    options.servers = 4;
    options.work = Millis(20);
    options.otherWork = Millis(1500);
    options.deadline = Millis(4000);
    options.floor = CapacityFloor{4, 0.0};
    options.rate = 100.0;
    options.idempotentShare = 0.9;
    HomeRig rig(options);
    rig.runUntil(std::chrono::seconds(60));
    CHECK(rig.readMs.size() > 60U * 80);
    std::sort(rig.readMs.begin(), rig.readMs.end());
    CHECK(rig.readMs[rig.readMs.size() * 9 / 10] < 300.0);
}

TEST_CASE("service home, load above capacity, refuses early and keeps its goodput")
{
    // At twice the capacity, an unbounded queue makes every response late. Requests that would miss their deadline must
    // be refused at once, with a time to retry, and the others must get a response.
    RigOptions options;
    options.servers = 4;
    options.rate = 400;
    options.work = Millis(50);
    options.deadline = Millis(600);
    options.floor = CapacityFloor{4, 0.0};
    HomeRig rig(options);
    rig.runUntil(std::chrono::seconds(60));
    const double completedPerSecond = static_cast<double>(rig.good + rig.late) / 60.0;
    CHECK(completedPerSecond > 160.0);
    CHECK(rig.refused > 8000);
    CHECK(rig.failed * 20 < rig.good + rig.late);
    CHECK(rig.ejections().empty());
}
