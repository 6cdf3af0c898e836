#pragma once

#include "include/base/TokenBucket.h"
#include "include/customer/QuotaCounter.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

enum class QuotaDecision {
    Admit,
    /** The counter must grant the request first. */
    Ask,
    /** The counter has denied a request shortly before and has said when there will be room. */
    Deny,
    /** The counter does not acknowledge reports: another one must be asked, or the node's own share used. */
    NoCounter,
};

/**
 * What one ingress knows of its customers' quotas: the mode that each customer's counter has set, and the requests that
 * were admitted but not yet reported. A node whose counter does not reply admits only its own equal share of the quota,
 * so that nodes which are cut off from each other stay within it together. Not thread safe.
 */
class QuotaLedger
{
public:
    /** @p id: identifies this node's first report. Without it reports carry no identifiers, as in earlier builds. */
    explicit QuotaLedger(const QuotaTuning &tuning, ReportId id = {});

    /** Decides on one request of a customer with that limit. Admitted requests are counted for the next report. */
    QuotaDecision decide(const std::string &customer, const QuotaLimit &limit, SteadyTime now);
    /** Admits a request whose counter does not reply if the share of one of @p nodes nodes allows it. */
    bool admitAlone(const std::string &customer, std::size_t nodes, SteadyTime now);
    /**
     * The same for a request for which @p ask was reported and no counter has replied. Restores @p ask, and counts the
     * request in it if admitted, so that a counter that has granted it with a lost reply does not count it again. @pre
     * @p ask was returned by takeUnreported().
     */
    bool admitUnanswered(QuotaUse ask, std::size_t nodes, SteadyTime now);
    /**
     * Gives back a request that was admitted at @p admittedAt but has not run. Returns false if that is so long ago
     * that it makes no difference.
     */
    bool giveBack(const std::string &customer, SteadyTime admittedAt, SteadyTime now);
    /** Records a reply of the counter: its mode, and until when it denies requests. */
    void noteReply(const std::string &customer, QuotaMode mode, SteadyTime deniedUntil, SteadyTime now);
    /** Sets the mode without an acknowledgement: the counter tells all nodes that a customer is near its limit. */
    void setMode(const std::string &customer, QuotaMode mode, SteadyTime now);
    /** Returns until when requests of the customer are denied. */
    SteadyTime deniedUntil(const std::string &customer) const;
    /**
     * Returns the unreported requests of each customer, and the reports that were restored. They count as reported, but
     * not as acknowledged.
     */
    std::vector<QuotaUse> takeUnreported(SteadyTime now);
    /** Returns the unreported requests of one customer, without the reports that were restored. */
    QuotaUse takeUnreported(const std::string &customer, SteadyTime now);
    /**
     * Keeps a report that was not acknowledged, to be sent again with its identifier. A report without an identifier,
     * one older than a window, and one beyond the number that is kept are added to the next report, which has another
     * identifier. What was given back keeps its age.
     */
    void restore(const QuotaUse &use, SteadyTime now);
    /** Returns true if there is something to report. */
    bool hasUnreported() const;
    /** Removes customers without requests for some windows (QuotaTuning::window). */
    void evictIdle(SteadyTime now);
    std::size_t size() const;

private:
    struct Account {
        QuotaMode mode = QuotaMode::Open;
        /** Admitted and not yet reported. */
        std::int64_t unreported = 0;
        /** When the first of them was admitted. */
        SteadyTime unreportedSince;
        std::uint32_t seen = 0;
        /** Number of requests given back and not yet reported, by time of admission, rounded down. */
        std::map<SteadyTime, std::uint32_t> returned;
        /** Reports that were not acknowledged, oldest first. */
        std::vector<QuotaUse> restored;
        /** This node's share, while its counter does not reply. */
        std::optional<TokenBucket> share;
        SteadyTime repliedAt;
        QuotaLimit limit;
        /** When the oldest report without a reply was sent. */
        std::optional<SteadyTime> reportedAt;
        SteadyTime deniedUntil;
        SteadyTime lastUsed;
    };

    static bool hasUnreported(const Account &account);
    static void countAdmitted(Account &account, std::int64_t count, SteadyTime since);
    /** Adds the requests of @p use to the next report. */
    static void addToNext(Account &account, const QuotaUse &use);
    /** Takes a token of this node's share. Returns false if it has none. */
    bool tryTakeShare(Account &account, std::size_t nodes, SteadyTime now) const;
    /** Returns a restored report, with its ages as of @p now. */
    QuotaUse repeated(const QuotaUse &use, SteadyTime now) const;
    QuotaUse takeFrom(const std::string &customer, Account &account, SteadyTime now);

    QuotaTuning tuning_;
    /** Identifies the next report. */
    ReportId nextId_;
    std::map<std::string, Account> accounts_;
};

} // namespace waxwing
