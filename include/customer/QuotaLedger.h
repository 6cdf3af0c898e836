#pragma once

#include "include/base/TokenBucket.h"
#include "include/customer/QuotaCounter.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/** Requests of one customer as one node reports them to the counter. */
struct QuotaUse {
    std::string customer;
    /** The customer's whole limit, as the reporting node's configuration has it. */
    QuotaLimit limit;
    /** Admitted since the last report, less all that were given back; may be negative. */
    std::int64_t used = 0;
    /** Waiting for a grant. */
    std::uint32_t wanted = 0;
    /** All that came since the last report, admitted or not. */
    std::uint32_t seen = 0;
    /** What was given back, by age. Nodes of an earlier build don't state it. */
    std::vector<QuotaReturn> returned;
    /** When the reporting node made this report; not part of the message. */
    SteadyTime madeAt;

    /** Returns how many were admitted, whether given back since or not. */
    std::int64_t taken() const;
    /** Returns true if the sender has counted these requests in place of the receiver (StandInUse). */
    bool isFromStandIn() const;
};

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
    explicit QuotaLedger(const QuotaTuning &tuning);

    /** Decides on one request of a customer with that limit. Admitted requests are counted for the next report. */
    QuotaDecision decide(const std::string &customer, const QuotaLimit &limit, SteadyTime now);
    /** Admits a request whose counter does not reply if the share of one of @p nodes nodes allows it. */
    bool admitAlone(const std::string &customer, std::size_t nodes, SteadyTime now);
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
    /** Returns the unreported requests of each customer. They count as reported, but not as acknowledged. */
    std::vector<QuotaUse> takeUnreported(SteadyTime now);
    /** The same for one customer. */
    QuotaUse takeUnreported(const std::string &customer, SteadyTime now);
    /** Adds requests of a report that was not acknowledged to the next one. What was given back keeps its age. */
    void restore(const QuotaUse &use);
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
    QuotaUse takeFrom(const std::string &customer, Account &account, SteadyTime now);

    QuotaTuning tuning_;
    std::map<std::string, Account> accounts_;
};

} // namespace waxwing
