#include "tests/support/HotCustomerModel.h"
#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>

#include <limits>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

constexpr std::uint32_t seeds = 20;

HotCustomerOutcome runAll(const HotCustomerLoad &load, SlotTuning tuning = {})
{
    HotCustomerOutcome sum;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const HotCustomerOutcome one = HotCustomerModel(load, tuning, seed).run();
        sum.hot += one.hot;
        sum.others += one.others;
        sum.waitedInVain += one.waitedInVain;
    }
    MESSAGE("hot " << sum.hot.inTimeShare() << " in time, " << sum.hot.refusedShare() << " refused; others "
                   << sum.others.inTimeShare() << ", " << sum.others.refusedShare() << "; waited in vain "
                   << sum.waitedInVain);
    return sum;
}

/** Serves all customers of a priority alike. */
SlotTuning blindToCustomers()
{
    SlotTuning tuning;
    tuning.customerUse.factor = std::numeric_limits<double>::infinity();
    return tuning;
}

HotCustomerLoad loadOf(double usualLoad, double hotFactor)
{
    HotCustomerLoad load;
    load.usualLoad = usualLoad;
    load.hotFactor = hotFactor;
    return load;
}

} // namespace

// Guards against a customer without a quota that sends many times its usual and fills the queue: all others were
// refused as often as that customer.
TEST_CASE("home, customer that sends many times its usual, is refused before the others and not starved")
{
    for (const HotCustomerLoad &load : {loadOf(0.75, 7.5), loadOf(0.9, 12.0)}) {
        const HotCustomerOutcome sum = runAll(load);
        const int served = sum.hot.requests - sum.hot.refused + sum.others.requests - sum.others.refused;
        const double servedShare = static_cast<double>(served) / (sum.hot.requests + sum.others.requests);
        CHECK(sum.others.refusedShare() * 2.0 < sum.hot.refusedShare());
        CHECK(1.0 - sum.hot.refusedShare() > servedShare / 4.0);
    }
}

// Guards against customers that are held to be hot in an ordinary overload.
TEST_CASE("home, overload by all customers alike, serves as many as without regard to customers")
{
    constexpr double maxLoss = 0.03;
    const HotCustomerLoad load = loadOf(1.2, 1.0);
    CHECK(runAll(load).others.inTimeShare() > runAll(load, blindToCustomers()).others.inTimeShare() - maxLoss);
}

TEST_CASE("home, hot customer that its quota limits, loses no more than the others")
{
    constexpr double maxLoss = 0.03;
    HotCustomerLoad load = loadOf(0.9, 12.0);
    load.limited = true;
    const HotCustomerOutcome sum = runAll(load);
    CHECK(sum.hot.inTimeShare() > sum.others.inTimeShare() - maxLoss);
}

TEST_CASE("customer use, more customers than can be tracked, stays bounded and judges none of the rest")
{
    CustomerUseTuning tuning;
    tuning.maxCustomers = 10;
    CustomerUse use(tuning);
    ManualClock clock;
    for (int i = 0; i < 100; ++i) {
        use.add("customer-" + std::to_string(i), Millis(250), clock.now());
    }
    CHECK(use.size() == tuning.maxCustomers);
    clock.advance(tuning.learningTime);
    for (int i = 0; i < 20; ++i) {
        use.add("customer-1", Millis(250), clock.now());
        use.add("customer-50", Millis(250), clock.now());
    }
    CHECK(use.isFarAboveUsual("customer-1", Millis(250), clock.now()));
    CHECK_FALSE(use.isFarAboveUsual("customer-50", Millis(250), clock.now()));
    clock.advance(tuning.usualSpan + Millis(1));
    use.add("customer-50", Millis(250), clock.now());
    CHECK(use.size() == 1);
}

TEST_CASE("customer use, usual rate not yet known, holds nobody to be far above it")
{
    CustomerUse use;
    ManualClock clock;
    for (int i = 0; i < 20; ++i) {
        use.add("customer", Millis(250), clock.now());
    }
    CHECK_FALSE(use.isFarAboveUsual("customer", Millis(250), clock.now()));
}
