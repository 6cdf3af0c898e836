#include "include/customer/QuotaLedger.h"

#include <algorithm>
#include <utility>

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
/**
 * Restored reports kept for a customer. One report is made each 50 ms until the counter without replies is excluded;
 * further ones are added to the next report.
 */
constexpr std::size_t maxRestored = 16;

SteadyTime stepOf(SteadyTime time)
{
    return SteadyTime(time.time_since_epoch() / returnStep * returnStep);
}

} // namespace

QuotaLedger::QuotaLedger(const QuotaTuning &tuning, ReportId id)
    : tuning_(tuning)
    , nextId_(id)
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
    if (!tryTakeShare(account, nodes, now)) {
        return false;
    }
    countAdmitted(account, 1, now);
    return true;
}

bool QuotaLedger::admitUnanswered(QuotaUse ask, std::size_t nodes, SteadyTime now)
{
    const bool admitted = tryTakeShare(accounts_[ask.customer], nodes, now);
    ask.used += admitted ? 1 : 0;
    restore(ask, now);
    return admitted;
}

bool QuotaLedger::tryTakeShare(Account &account, std::size_t nodes, SteadyTime now) const
{
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
    return account.share->tryTake(1.0, now);
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
    use.firstMadeAt = now;
    if (nextId_.isKnown()) {
        use.id = nextId_;
        ++nextId_.sequence;
    }
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
        for (const QuotaUse &use : std::exchange(account.restored, {})) {
            uses.push_back(repeated(use, now));
            account.reportedAt = account.reportedAt.value_or(now);
        }
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

QuotaUse QuotaLedger::repeated(const QuotaUse &use, SteadyTime now) const
{
    QuotaUse again = use;
    again.madeAt = now;
    again.used = use.taken();
    again.returned.clear();
    for (const QuotaReturn &one : use.returned) {
        const Millis age = one.age + millisOf(now - use.madeAt);
        if (age <= returnWindows * tuning_.window) {
            again.used -= one.count;
            again.returned.push_back(QuotaReturn{age, one.count});
        }
    }
    return again;
}

void QuotaLedger::addToNext(Account &account, const QuotaUse &use)
{
    if (use.taken() > 0) {
        countAdmitted(account, use.taken(), use.madeAt);
    }
    account.seen += use.seen;
    for (const QuotaReturn &one : use.returned) {
        account.returned[stepOf(use.madeAt - one.age)] += one.count;
    }
}

void QuotaLedger::restore(const QuotaUse &use, SteadyTime now)
{
    Account &account = accounts_[use.customer];
    account.limit = account.limit.isUnlimited() ? use.limit : account.limit;
    const bool isEmpty = use.taken() == 0 && use.returned.empty();
    const bool isOld = now - use.firstMadeAt > tuning_.window;
    if (isEmpty || isOld || !use.id.isKnown() || account.restored.size() >= maxRestored) {
        addToNext(account, use);
        return;
    }
    account.restored.push_back(use);
    account.restored.back().wanted = 0;
}

bool QuotaLedger::hasUnreported(const Account &account)
{
    return account.unreported != 0 || !account.returned.empty();
}

bool QuotaLedger::hasUnreported() const
{
    return std::any_of(accounts_.begin(), accounts_.end(),
                       [](const auto &one) { return hasUnreported(one.second) || !one.second.restored.empty(); });
}

void QuotaLedger::evictIdle(SteadyTime now)
{
    for (auto it = accounts_.begin(); it != accounts_.end();) {
        const bool idle = !hasUnreported(it->second) && it->second.restored.empty()
                          && now - it->second.lastUsed > idleWindows * tuning_.window;
        it = idle ? accounts_.erase(it) : std::next(it);
    }
}

std::size_t QuotaLedger::size() const
{
    return accounts_.size();
}

} // namespace waxwing
