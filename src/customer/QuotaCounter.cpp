#include "include/customer/QuotaCounter.h"

#include "include/base/Ids.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** Part of the tolerance that grants may use. The rest is for requests that are admitted before they are counted. */
constexpr double grantedTolerance = 0.15;
/**
 * Part of the tolerance by which tokens that are given back late may exceed the burst. Without it customers below their
 * limit whose callers repeat requests are refused more often (figures in docs/design/customers.md).
 */
constexpr double returnedTolerance = 0.3;
/** Levels, as fractions of the burst, at which metered mode begins and ends. */
constexpr double meterBelow = 0.2;
constexpr double openAbove = 0.4;
/** Levels, as fractions of the burst, below which tokens are borrowed, and above which they are lent. */
constexpr double borrowBelow = 0.4;
constexpr double lendAbove = 0.5;
/** Nodes that reported within this time wait for tokens. */
constexpr Millis recentTime{1000};
/** Span over which the reporting nodes are counted: until it has so many requests for each known node. */
constexpr Millis minObservedTime{1000};
constexpr Millis maxObservedTime{4000};
constexpr double requestsPerNode = 4.0;
/** A node that reported within this time and no longer does may be cut off. */
constexpr Millis knownTime{30000};
/**
 * Debt in seconds of the rate: a counter that is only cut off goes on granting at the full rate until it misses the
 * nodes that report here.
 */
constexpr double initialDebtSeconds = 0.5;
/** Factor on the time in which the rate refills one token for each recently reporting node; longest denial. */
constexpr double denialFactor = 0.7;
constexpr Millis maxDenial{700};
/** Longest time between a request and the first report, with which its counter starts. */
constexpr Millis reportDelay{100};

} // namespace

QuotaCounter::QuotaCounter(QuotaLimit limit, const QuotaTuning &tuning, CounterStart start, SteadyTime now)
    : limit_(limit)
    , tuning_(tuning)
    , bucket_(limit.ratePerSecond, limit.burst, now)
    // Tokens that an earlier counter granted were not taken from this bucket and can't be put back into it.
    , levels_(tuning.window, start == CounterStart::Fresh ? now - reportDelay : now)
    , overflow_(tuning.window, now)
    , now_(now)
    , lastUsed_(now)
    , createdAt_(now)
    , start_(start)
    , mode_(start == CounterStart::Fresh ? QuotaMode::Open : QuotaMode::Metered)
    , reports_(tuning.window)
{
    if (start != CounterStart::Fresh) {
        bucket_.take(limit.burst, now);
    }
    if (start == CounterStart::InPlaceOfOther) {
        bucket_.take(initialDebtSeconds * limit.ratePerSecond, now);
    }
}

void QuotaCounter::setLimit(QuotaLimit limit, SteadyTime now)
{
    level(now);
    limit_ = limit;
}

std::size_t QuotaCounter::reportersWithin(Duration time) const
{
    return static_cast<std::size_t>(std::count_if(
        reporters_.begin(), reporters_.end(), [&](const auto &reporter) { return now_ - reporter.second <= time; }));
}

double QuotaCounter::reportingShare() const
{
    // Requests come to random ones of the nodes that this customer uses. If fewer different nodes report than so many
    // requests would come from, the others are cut off, and their own counter may be granting the same tokens. With few
    // requests only a longer span shows that.
    const auto known = static_cast<double>(
        std::max<std::size_t>(1, start_ == CounterStart::InPlaceOfOther ? nodes_.all : reportersWithin(knownTime)));
    double requests = 0.0;
    Duration span = minObservedTime;
    for (auto it = arrivals_.rbegin(); it != arrivals_.rend(); ++it) {
        const Duration age = now_ - it->at;
        if (age > minObservedTime && requests >= requestsPerNode * known) {
            break;
        }
        span = std::max(span, age);
        requests += it->count;
    }
    const double expected = known * (1.0 - std::exp(-requests / known));
    return expected <= 1.0 ? 1.0 : std::min(1.0, static_cast<double>(reportersWithin(span)) / expected);
}

double QuotaCounter::reachableShare() const
{
    // A customer that has sent few requests may come to any node, and reports don't show which of them are missing.
    const double share = reportingShare();
    const bool hasEnoughReports = reportedRequests_ >= requestsPerNode * static_cast<double>(nodes_.all);
    return hasEnoughReports ? share
                            : std::min(share, static_cast<double>(nodes_.reachable) / static_cast<double>(nodes_.all));
}

void QuotaCounter::refill(SteadyTime now)
{
    const double rate = limit_.ratePerSecond * reachableShare();
    const double before = bucket_.level(now_);
    bucket_.setRate(rate, limit_.burst);
    const double after = bucket_.level(now);
    if (rate > 0.0 && after >= limit_.burst) {
        const double seconds = std::max(0.0, limit_.burst - before) / rate;
        overflow_.note(rate, std::min(now, now_ + durationOf(seconds)), now);
    } else {
        overflow_.note(0.0, now, now);
    }
    now_ = now;
}

double QuotaCounter::level(SteadyTime now)
{
    // After a whole window nothing that the earlier counter granted lies in the window any more; one that is only cut
    // off goes on granting.
    const Duration age = now - createdAt_;
    if (age >= knownTime || (start_ == CounterStart::AfterLoss && age >= tuning_.window)) {
        start_ = CounterStart::Fresh;
    }
    while (!arrivals_.empty() && now - arrivals_.front().at > maxObservedTime) {
        arrivals_.pop_front();
    }
    refill(now);
    const double tokens = bucket_.level(now);
    levels_.note(tokens, now);
    return tokens;
}

void QuotaCounter::record(const std::string &node, std::int64_t used, std::uint32_t seen, const RegionNodes &nodes,
                          SteadyTime now)
{
    nodes_ = nodes;
    level(now);
    noteReporter(stableHash(node), seen);
    const std::int64_t taken = start_ == CounterStart::Fresh ? used : std::max<std::int64_t>(0, used);
    bucket_.take(static_cast<double>(taken), now);
    lastUsed_ = now;
}

void QuotaCounter::noteReporter(std::uint64_t origin, std::uint32_t seen)
{
    reportedRequests_ += seen;
    reporters_[origin] = now_;
    arrivals_.push_back(Arrivals{now_, seen});
}

CountedUse QuotaCounter::count(const std::string &node, const QuotaUse &use, const RegionNodes &nodes, SteadyTime now)
{
    CountedUse counted;
    level(now);
    if (use.isFromStandIn()) {
        countFromStandIn(use, counted);
    } else {
        countFromIngress(node, use, nodes, counted);
    }
    return counted;
}

void QuotaCounter::countFromIngress(const std::string &node, const QuotaUse &use, const RegionNodes &nodes,
                                    CountedUse &counted)
{
    const std::int64_t taken = use.taken();
    const bool isRepeated = reports_.contains(use.id);
    // A request that was granted before, with a reply that did not arrive, is granted again without another token.
    const std::int64_t countedBefore = reports_.countOf(use.id);
    const auto grantedBefore =
        static_cast<std::uint32_t>(isRepeated ? std::clamp<std::int64_t>(countedBefore - taken, 0, use.wanted) : 0);
    const std::int64_t addedTaken = isRepeated ? std::max<std::int64_t>(0, taken - countedBefore) : taken;
    record(node, addedTaken, isRepeated ? 0 : use.seen, nodes, now_);
    for (const QuotaReturn &tokens : use.returned) {
        counted.lateReturns += isRepeated ? 0.0 : tokens.count - giveBack(tokens, now_);
    }
    const std::uint32_t granted = grant(use.wanted - grantedBefore, now_);
    counted.granted = grantedBefore + granted;
    counted.repeated = isRepeated ? 1 : 0;
    counted.added = addedTaken + granted;
    counted.total = (isRepeated ? std::max(taken, countedBefore) : taken) + granted;
    // A denied request changes nothing when it is reported again.
    if (counted.total != 0 || !use.returned.empty()) {
        reports_.add(use.id, counted.total, now_);
    }
}

void QuotaCounter::countFromStandIn(const QuotaUse &use, CountedUse &counted)
{
    std::int64_t forwarded = 0;
    std::int64_t added = 0;
    double covered = 0.0;
    for (const ForwardedReport &one : use.forwarded) {
        const bool isRepeated = reports_.contains(one.id);
        const std::int64_t addedOne = one.count > 0 ? reports_.add(one.id, one.count, now_) : 0;
        counted.repeated += isRepeated ? 1 : 0;
        forwarded += one.count;
        added += addedOne;
        // No window holds a new request and one that is older than a window, so those tokens no longer matter.
        covered += one.age > tuning_.window ? static_cast<double>(addedOne)
                                            : overflow_.cover(static_cast<double>(addedOne), now_ - one.age);
        // The stand-in reports what it grants, so the nodes that it counts for are not cut off from this counter.
        if (isRepeated) {
            reporters_[one.id.origin] = now_;
        } else {
            noteReporter(one.id.origin, one.seen);
        }
    }
    // The stand-in reports at most a burst, and may have counted reports without an identifier.
    const std::int64_t unidentified = std::max<std::int64_t>(0, use.used - forwarded);
    counted.added = std::min(use.used, unidentified + added);
    counted.total = counted.added;
    if (counted.added > 0) {
        const double taken = static_cast<double>(unidentified + added) - covered;
        recordStandIn(std::min(taken, static_cast<double>(use.used)), now_);
    }
}

double QuotaCounter::giveBack(const QuotaReturn &tokens, SteadyTime now)
{
    const double missing = std::max(0.0, limit_.burst - level(now));
    const double capacity = limit_.burst + returnedTolerance * tolerance();
    const double counted = std::min(missing, levels_.putBack(tokens.count, now - tokens.age, capacity));
    bucket_.take(-counted, now);
    return counted;
}

double QuotaCounter::tolerance() const
{
    const double window = secondsOf(tuning_.window);
    return tuning_.over * (limit_.ratePerSecond * window + limit_.burst) + tuning_.slack;
}

void QuotaCounter::recordStandIn(double used, SteadyTime now)
{
    const double tokens = level(now);
    const bool isCovered = start_ == CounterStart::AfterLoss && !hasStandInReport_;
    hasStandInReport_ = true;
    bucket_.take(isCovered ? std::max(0.0, tokens) : used, now);
    lastUsed_ = now;
}

double QuotaCounter::grantFloor() const
{
    return -grantedTolerance * tolerance();
}

std::uint32_t QuotaCounter::grant(std::uint32_t wanted, SteadyTime now)
{
    const double available = std::floor(level(now) - grantFloor());
    const auto granted = static_cast<std::uint32_t>(std::clamp(available, 0.0, static_cast<double>(wanted)));
    bucket_.take(granted, now);
    return granted;
}

bool QuotaCounter::needsLoan(SteadyTime now)
{
    return level(now) < borrowBelow * limit_.burst;
}

double QuotaCounter::loanWanted(SteadyTime now)
{
    return std::max(0.0, limit_.burst - level(now));
}

double QuotaCounter::lend(double wanted, SteadyTime now)
{
    const double tokens = level(now);
    const bool mayLend = start_ == CounterStart::Fresh;
    const double spare = mayLend ? std::max(0.0, tokens - lendAbove * limit_.burst) : 0.0;
    const double lent = std::clamp(wanted, 0.0, spare);
    bucket_.take(lent, now);
    return lent;
}

void QuotaCounter::borrow(double tokens, SteadyTime now)
{
    level(now);
    bucket_.take(-std::max(0.0, tokens), now);
}

QuotaMode QuotaCounter::mode(SteadyTime now)
{
    const double tokens = level(now);
    if (tokens < meterBelow * limit_.burst) {
        mode_ = QuotaMode::Metered;
    } else if (tokens >= openAbove * limit_.burst) {
        mode_ = QuotaMode::Open;
    }
    return mode_;
}

Millis QuotaCounter::retryAfter(SteadyTime now)
{
    const double tokens = level(now);
    if (limit_.ratePerSecond <= 0.0) {
        return maxDenial;
    }
    // Tokens come at the rate, and every node that has asked wants the next one.
    const double missing = std::max(0.0, 1.0 - (tokens - grantFloor()));
    const double waiting = denialFactor * static_cast<double>(reportersWithin(recentTime));
    const double seconds = std::max(missing, waiting) / limit_.ratePerSecond;
    return std::min(maxDenial, Millis(static_cast<std::int64_t>(std::ceil(1000.0 * seconds))));
}

SteadyTime QuotaCounter::lastUsed() const
{
    return lastUsed_;
}

} // namespace waxwing
