#include "include/customer/QuotaLedger.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Windows without a request after which a customer is forgotten. */
constexpr int idleWindows = 2;
/** Tokens that a node's share holds at least when it is full: one request, however small the share is. */
constexpr double minShareBurst = 1.0;
/** The rest covers requests that a node admits before it notices that its counter is silent. */
constexpr double shareFactor = 0.5;
/** A counter in the region replies within some milliseconds; a VM that has used up its CPU quota needs 100 ms more. */
constexpr Millis acknowledgeTime{150};

} // namespace

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
    ++account.unreported;
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
    ++account.unreported;
    return true;
}

void QuotaLedger::giveBack(const std::string &customer)
{
    // A customer that was forgotten has not used its quota for longer than a window, so nothing is lost.
    const auto found = accounts_.find(customer);
    if (found != accounts_.end()) {
        --found->second.unreported;
    }
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
    QuotaUse use{customer, account.limit, account.unreported, 0, account.seen};
    account.unreported = 0;
    account.seen = 0;
    account.reportedAt = account.reportedAt.value_or(now);
    return use;
}

std::vector<QuotaUse> QuotaLedger::takeUnreported(SteadyTime now)
{
    std::vector<QuotaUse> uses;
    for (auto &[customer, account] : accounts_) {
        if (account.unreported != 0) {
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
    account.unreported += use.used;
    account.seen += use.seen;
}

bool QuotaLedger::hasUnreported() const
{
    return std::any_of(accounts_.begin(), accounts_.end(), [](const auto &one) { return one.second.unreported != 0; });
}

void QuotaLedger::evictIdle(SteadyTime now)
{
    for (auto it = accounts_.begin(); it != accounts_.end();) {
        const bool idle = it->second.unreported == 0 && now - it->second.lastUsed > idleWindows * tuning_.window;
        it = idle ? accounts_.erase(it) : std::next(it);
    }
}

std::size_t QuotaLedger::size() const
{
    return accounts_.size();
}

} // namespace waxwing
