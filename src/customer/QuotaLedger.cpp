#include "include/customer/QuotaLedger.h"

#include <algorithm>
#include <numeric>

namespace waxwing {

namespace {

/** Windows without a request after which a customer is forgotten. */
constexpr int idleWindows = 2;
/** Tokens that a node's share holds at least when it is full: one request, however small the share is. */
constexpr double minShareBurst = 1.0;
/** The rest covers requests that a node admits before it notices that its counter does not reply. */
constexpr double shareFactor = 0.5;
/** A counter in the region replies within some milliseconds; a VM that has used up its CPU quota needs 100 ms more. */
constexpr Millis acknowledgeTime{150};
/** Requests that were admitted within one such step are given back together, which bounds the size of a report. */
constexpr Millis returnStep{50};
/**
 * Number of windows after which a request is no longer given back. LevelHistory covers the same span: no older request
 * lies in a window with a new one.
 */
constexpr int returnWindows = 2;

SteadyTime stepOf(SteadyTime time)
{
    return SteadyTime(time.time_since_epoch() / returnStep * returnStep);
}

} // namespace

std::int64_t QuotaUse::taken() const
{
    return std::accumulate(returned.begin(), returned.end(), used,
                           [](std::int64_t sum, const QuotaReturn &one) { return sum + one.count; });
}

bool QuotaUse::isFromStandIn() const
{
    // An ingress that has admitted requests has seen them.
    return used > 0 && seen == 0 && wanted == 0;
}

QuotaLedger::QuotaLedger(const QuotaTuning &tuning)
    : tuning_(tuning)
{ }

QuotaDecision QuotaLedger::decide(const std::string &customer, const QuotaLimit &limit, SteadyTime now)
{
    Account &account = accounts_[customer];
    account.lastUsed = now;
    account.limit = limit;
    ++account.seen;
    if (account.reportedAt && now - *account.reportedAt > acknowledgeTime) {
        return QuotaDecision::NoCounter;
    }
    if (account.mode == QuotaMode::Metered) {
        return now < account.deniedUntil ? QuotaDecision::Deny : QuotaDecision::Ask;
    }
    countAdmitted(account, 1, now);
    return QuotaDecision::Admit;
}

bool QuotaLedger::admitAlone(const std::string &customer, std::size_t nodes, SteadyTime now)
{
    Account &account = accounts_[customer];
    const double perSecond =
        shareFactor * account.limit.ratePerSecond / static_cast<double>(std::max<std::size_t>(1, nodes));
    const double burst = std::max(minShareBurst, perSecond);
    if (!account.share) {
        // The counter has counted all that this node admitted before its last reply, so the share began empty then.
        const SteadyTime since = std::max(account.repliedAt, now - tuning_.window);
        account.share.emplace(perSecond, burst, since);
        account.share->take(burst, since);
    }
    account.share->setRate(perSecond, burst);
    if (!account.share->tryTake(1.0, now)) {
        return false;
    }
    countAdmitted(account, 1, now);
    return true;
}

void QuotaLedger::countAdmitted(Account &account, std::int64_t count, SteadyTime since)
{
    account.unreportedSince = account.unreported > 0 ? std::min(account.unreportedSince, since) : since;
    account.unreported += count;
}

bool QuotaLedger::giveBack(const std::string &customer, SteadyTime admittedAt, SteadyTime now)
{
    // A customer that was evicted has not used its quota for longer than a window, so nothing is lost.
    const auto found = accounts_.find(customer);
    if (found == accounts_.end() || now - admittedAt > returnWindows * tuning_.window) {
        return false;
    }
    Account &account = found->second;
    if (account.unreported > 0 && admittedAt >= account.unreportedSince) {
        // The counter has not taken a token for it yet.
        --account.unreported;
    } else {
        ++account.returned[stepOf(admittedAt)];
    }
    return true;
}

void QuotaLedger::noteReply(const std::string &customer, QuotaMode mode, SteadyTime deniedUntil, SteadyTime now)
{
    Account &account = accounts_[customer];
    account.mode = mode;
    account.reportedAt.reset();
    account.share.reset();
    account.repliedAt = now;
    account.deniedUntil = deniedUntil;
    account.lastUsed = std::max(account.lastUsed, now);
}

void QuotaLedger::setMode(const std::string &customer, QuotaMode mode, SteadyTime now)
{
    Account &account = accounts_[customer];
    account.mode = mode;
    account.lastUsed = std::max(account.lastUsed, now);
}

SteadyTime QuotaLedger::deniedUntil(const std::string &customer) const
{
    const auto found = accounts_.find(customer);
    return found == accounts_.end() ? SteadyTime() : found->second.deniedUntil;
}

QuotaUse QuotaLedger::takeFrom(const std::string &customer, Account &account, SteadyTime now)
{
    QuotaUse use;
    use.customer = customer;
    use.limit = account.limit;
    use.used = account.unreported;
    use.seen = account.seen;
    use.madeAt = now;
    for (const auto &[admittedAt, count] : account.returned) {
        if (now - admittedAt > returnWindows * tuning_.window) {
            continue;
        }
        use.used -= count;
        use.returned.push_back(QuotaReturn{millisOf(now - admittedAt), count});
    }
    account.returned.clear();
    account.unreported = 0;
    account.seen = 0;
    account.reportedAt = account.reportedAt.value_or(now);
    return use;
}

std::vector<QuotaUse> QuotaLedger::takeUnreported(SteadyTime now)
{
    std::vector<QuotaUse> uses;
    for (auto &[customer, account] : accounts_) {
        if (hasUnreported(account)) {
            uses.push_back(takeFrom(customer, account, now));
        }
    }
    return uses;
}

QuotaUse QuotaLedger::takeUnreported(const std::string &customer, SteadyTime now)
{
    return takeFrom(customer, accounts_[customer], now);
}

void QuotaLedger::restore(const QuotaUse &use)
{
    Account &account = accounts_[use.customer];
    account.limit = account.limit.isUnlimited() ? use.limit : account.limit;
    if (use.taken() > 0) {
        countAdmitted(account, use.taken(), use.madeAt);
    }
    account.seen += use.seen;
    for (const QuotaReturn &one : use.returned) {
        account.returned[stepOf(use.madeAt - one.age)] += one.count;
    }
}

bool QuotaLedger::hasUnreported(const Account &account)
{
    return account.unreported != 0 || !account.returned.empty();
}

bool QuotaLedger::hasUnreported() const
{
    return std::any_of(accounts_.begin(), accounts_.end(), [](const auto &one) { return hasUnreported(one.second); });
}

void QuotaLedger::evictIdle(SteadyTime now)
{
    for (auto it = accounts_.begin(); it != accounts_.end();) {
        const bool idle = !hasUnreported(it->second) && now - it->second.lastUsed > idleWindows * tuning_.window;
        it = idle ? accounts_.erase(it) : std::next(it);
    }
}

std::size_t QuotaLedger::size() const
{
    return accounts_.size();
}

} // namespace waxwing
