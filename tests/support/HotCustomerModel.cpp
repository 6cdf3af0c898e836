#include "tests/support/HotCustomerModel.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/gamma_distribution.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cmath>

namespace waxwing::testing {

namespace {

constexpr int hotCustomer = 2;
constexpr double zipfExponent = 0.8;
constexpr double bookingShare = 0.3;
constexpr Millis lookupWork{250};
constexpr Millis bookingWork{800};
constexpr Millis lookupObjective{800};
constexpr Millis bookingObjective{2500};
constexpr Millis queueTimeout{500};
constexpr Millis deadline{4000};
constexpr Millis warmUp{15000};
constexpr Millis hotPhase{6500};
constexpr Millis pollInterval{20};
constexpr double quotaFactor = 1.6;
constexpr double minQuotaBurst = 3.0;
constexpr double workShape = 6.0;

} // namespace

HotCustomerModel::HotCustomerModel(const HotCustomerLoad &load, SlotTuning tuning, std::uint32_t seed)
    : load_(load)
    , random_(seed)
    , events_(SteadyTime(std::chrono::hours(1)))
    , hotFrom_(events_.now() + warmUp)
    , end_(hotFrom_ + hotPhase)
    , queue_(tuning)
{
    queue_.setServer(load.slots, true, events_.now());
    const double meanWork = bookingShare * secondsOf(bookingWork) + (1.0 - bookingShare) * secondsOf(lookupWork);
    double weights = 0.0;
    for (int i = 0; i < load.customers; ++i) {
        weights += std::pow(i + 1, -zipfExponent);
    }
    for (int i = 0; i < load.customers; ++i) {
        const double share = std::pow(i + 1, -zipfExponent) / weights;
        const double rate = load.usualLoad * load.slots / meanWork * share;
        customers_.push_back(Customer{rate, std::max(minQuotaBurst, rate * quotaFactor), events_.now()});
    }
}

HotCustomerOutcome HotCustomerModel::run()
{
    for (int i = 0; i < load_.customers; ++i) {
        scheduleArrival(i);
    }
    events_.run();
    return outcome_;
}

bool HotCustomerModel::isHotPhase() const
{
    return events_.now() >= hotFrom_ && events_.now() < end_;
}

void HotCustomerModel::scheduleArrival(int customer)
{
    const double factor = customer == hotCustomer && isHotPhase() ? load_.hotFactor : 1.0;
    const double rate = customers_[static_cast<std::size_t>(customer)].usualRate * factor;
    const SteadyTime next = events_.now() + durationOf(boost::random::exponential_distribution<double>(rate)(random_));
    if (next < end_) {
        events_.add(next, [this, customer] { arrive(customer); });
    }
}

bool HotCustomerModel::isWithinQuota(Customer &customer) const
{
    const double limit = customer.usualRate * quotaFactor;
    const double burst = std::max(minQuotaBurst, limit);
    customer.tokens = std::min(burst, customer.tokens + limit * secondsOf(events_.now() - customer.refilled));
    customer.refilled = events_.now();
    if (customer.tokens < 1.0) {
        return false;
    }
    customer.tokens -= 1.0;
    return true;
}

void HotCustomerModel::arrive(int customer)
{
    scheduleArrival(customer);
    if (load_.limited && !isWithinQuota(customers_[static_cast<std::size_t>(customer)])) {
        return;
    }
    const bool booking = boost::random::uniform_01<double>()(random_) < bookingShare;
    const std::uint64_t id = nextId_++;
    const Request request{customer, booking, events_.now(),
                          events_.now() + (booking ? bookingObjective : lookupObjective)};
    active_[id] = request;
    countsOf(request).requests += isHotPhase() ? 1 : 0;
    SlotRequest slotRequest;
    slotRequest.id = id;
    slotRequest.route = booking ? "booking" : "lookup";
    slotRequest.customer = "customer-" + std::to_string(customer);
    slotRequest.retryable = !booking;
    slotRequest.objective = request.objective;
    slotRequest.deadline = events_.now() + deadline;
    slotRequest.queueTimeout = queueTimeout;
    const SlotDecision decision = queue_.submit(slotRequest, events_.now());
    if (decision.action == SlotAction::Start) {
        start(id);
    } else if (decision.action == SlotAction::Refuse) {
        refuse(id);
    } else {
        schedulePoll();
    }
}

void HotCustomerModel::schedulePoll()
{
    if (pollScheduled_) {
        return;
    }
    pollScheduled_ = true;
    events_.add(events_.now() + pollInterval, [this] {
        pollScheduled_ = false;
        poll();
    });
}

void HotCustomerModel::start(std::uint64_t id)
{
    const double mean = secondsOf(active_[id].booking ? bookingWork : lookupWork);
    const Duration work = durationOf(boost::random::gamma_distribution<double>(workShape, mean / workShape)(random_));
    events_.add(events_.now() + work, [this, id, work] { finish(id, work); });
}

void HotCustomerModel::finish(std::uint64_t id, Duration work)
{
    const Request request = active_[id];
    active_.erase(id);
    if (request.arrived >= hotFrom_) {
        const bool inTime = events_.now() <= request.objective;
        (inTime ? countsOf(request).inTime : countsOf(request).late) += 1;
    }
    queue_.addResult(request.booking ? "booking" : "lookup", false, work, events_.now());
    queue_.release(id, events_.now());
    poll();
}

void HotCustomerModel::refuse(std::uint64_t id)
{
    const Request request = active_[id];
    active_.erase(id);
    if (request.arrived >= hotFrom_) {
        countsOf(request).refused += 1;
        outcome_.waitedInVain += events_.now() > request.arrived ? 1 : 0;
    }
}

void HotCustomerModel::poll()
{
    const SlotQueue::PollResult result = queue_.poll(events_.now());
    for (const std::uint64_t id : result.start) {
        start(id);
    }
    for (const std::uint64_t id : result.expired) {
        refuse(id);
    }
    if (queue_.waiting() > 0) {
        schedulePoll();
    }
}

ServedCounts &HotCustomerModel::countsOf(const Request &request)
{
    return request.customer == hotCustomer ? outcome_.hot : outcome_.others;
}

} // namespace waxwing::testing
