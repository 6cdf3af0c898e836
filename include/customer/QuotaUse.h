#pragma once

#include "include/base/Clock.h"
#include "include/fleet/CustomerTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/** Tokens of requests that have ended without having run. */
struct QuotaReturn {
    /** Time since the tokens were taken. */
    Millis age{0};
    std::uint32_t count = 0;
};

/** Identifies one ingress's report for one customer. A report that is repeated keeps its identifier. */
struct ReportId {
    /** Hash of the ingress's name; the same for all processes that run under this name. */
    std::uint64_t origin = 0;
    /** Unique for the origin; 0: an ingress of an earlier build, which sends no identifiers. */
    std::uint64_t sequence = 0;

    /** Returns true if there is an identifier. */
    bool isKnown() const;
    bool operator<(const ReportId &other) const;
};

/** What a stand-in counter has counted for one report of an ingress. */
struct ForwardedReport {
    ReportId id;
    /** All requests counted for this report: those that the ingress had admitted and those that were granted. */
    std::int64_t count = 0;
    /** Requests that came to the ingress since its report before this one. */
    std::uint32_t seen = 0;
    /** Time since the stand-in counted the last of them. */
    Millis age{0};
};

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
    /** Identifies an ingress's report; not set in the report of a stand-in. */
    ReportId id;
    /** In the report of a stand-in: the reports that it has counted. Nodes of an earlier build don't state them. */
    std::vector<ForwardedReport> forwarded;
    /** When the reporting node made this report, to which the ages refer; not part of the message. */
    SteadyTime madeAt;
    /** When it was made for the first time; not part of the message. */
    SteadyTime firstMadeAt;
    /** Upper bound of @c used in the report of a stand-in; not part of the message. */
    std::int64_t maxUsed = 0;

    /** Returns how many were admitted, whether given back since or not. */
    std::int64_t taken() const;
    /** Returns true if the sender has counted these requests in place of the receiver (StandInUse). */
    bool isFromStandIn() const;
};

} // namespace waxwing
