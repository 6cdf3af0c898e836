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

double secondsOf(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

double CustomerShare::inTimeShare() const
{
    return static_cast<double>(inTime) / std::max(1, requests);
}

double CustomerShare::refusedShare() const
{
    return static_cast<double>(refused) / std::max(1, requests);
}

bool HotCustomerModel::Event::operator<(const Event &other) const
{
    return at != other.at ? at > other.at : order > other.order;
}

HotCustomerModel::HotCustomerModel(const HotCustomerLoad &load, SlotTuning tuning, std::uint32_t seed)
    : load_(load)
    , random_(seed)
    , now_(std::chrono::hours(1))
    , hotFrom_(now_ + warmUp)
    , end_(hotFrom_ + hotPhase)
    , queue_(tuning)
{
    queue_.setServer(load.slots, true, now_);
    const double meanWork = bookingShare * secondsOf(bookingWork) + (1.0 - bookingShare) * secondsOf(lookupWork);
    double weights = 0.0;
    for (int i = 0; i < load.customers; ++i) {
        weights += std::pow(i + 1, -zipfExponent);
    }
    for (int i = 0; i < load.customers; ++i) {
        const double share = std::pow(i + 1, -zipfExponent) / weights;
        const double rate = load.usualLoad * load.slots / meanWork * share;
        customers_.push_back(Customer{rate, std::max(minQuotaBurst, rate * quotaFactor), now_});
    }
}

HotCustomerOutcome HotCustomerModel::run()
{
    for (int i = 0; i < load_.customers; ++i) {
        scheduleArrival(i);
    }
    while (!events_.empty()) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    return outcome_;
}

void HotCustomerModel::schedule(SteadyTime when, std::function<void()> action)
{
    events_.push(Event{when, nextOrder_++, std::move(action)});
}

bool HotCustomerModel::isHotPhase() const
{
    return now_ >= hotFrom_ && now_ < end_;
}

void HotCustomerModel::scheduleArrival(int customer)
{
    const double factor = customer == hotCustomer && isHotPhase() ? load_.hotFactor : 1.0;
    const double rate = customers_[static_cast<std::size_t>(customer)].usualRate * factor;
    const SteadyTime next = now_ + durationOf(boost::random::exponential_distribution<double>(rate)(random_));
    if (next < end_) {
        schedule(next, [this, customer] { arrive(customer); });
    }
}

bool HotCustomerModel::isWithinQuota(Customer &customer) const
{
    const double limit = customer.usualRate * quotaFactor;
    const double burst = std::max(minQuotaBurst, limit);
    customer.tokens = std::min(burst, customer.tokens + limit * secondsOf(now_ - customer.refilled));
    customer.refilled = now_;
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
    const Request request{customer, booking, now_, now_ + (booking ? bookingObjective : lookupObjective)};
    active_[id] = request;
    shareOf(request).requests += isHotPhase() ? 1 : 0;
    SlotRequest slotRequest;
    slotRequest.id = id;
    slotRequest.route = booking ? "booking" : "lookup";
    slotRequest.customer = "customer-" + std::to_string(customer);
    slotRequest.retryable = !booking;
    slotRequest.objective = request.objective;
    slotRequest.deadline = now_ + deadline;
    slotRequest.queueTimeout = queueTimeout;
    const SlotDecision decision = queue_.submit(slotRequest, now_);
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
    schedule(now_ + pollInterval, [this] {
        pollScheduled_ = false;
        poll();
    });
}

void HotCustomerModel::start(std::uint64_t id)
{
    const double mean = secondsOf(active_[id].booking ? bookingWork : lookupWork);
    const Duration work = durationOf(boost::random::gamma_distribution<double>(workShape, mean / workShape)(random_));
    schedule(now_ + work, [this, id, work] { finish(id, work); });
}

void HotCustomerModel::finish(std::uint64_t id, Duration work)
{
    const Request request = active_[id];
    active_.erase(id);
    if (request.arrived >= hotFrom_) {
        shareOf(request).inTime += now_ <= request.objective ? 1 : 0;
    }
    queue_.addResult(request.booking ? "booking" : "lookup", false, work, now_);
    queue_.release(id, now_);
    poll();
}

void HotCustomerModel::refuse(std::uint64_t id)
{
    const Request request = active_[id];
    active_.erase(id);
    if (request.arrived >= hotFrom_) {
        shareOf(request).refused += 1;
        outcome_.waitedInVain += now_ > request.arrived ? 1 : 0;
    }
}

void HotCustomerModel::poll()
{
    const SlotQueue::PollResult result = queue_.poll(now_);
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

CustomerShare &HotCustomerModel::shareOf(const Request &request)
{
    return request.customer == hotCustomer ? outcome_.hot : outcome_.others;
}

} // namespace waxwing::testing
