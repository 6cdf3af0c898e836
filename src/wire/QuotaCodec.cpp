#include "src/wire/QuotaCodec.h"

#include "src/wire/FieldCodec.h"
#include "src/wire/MessageFrame.h"

#include <algorithm>

namespace waxwing::wire {

using nlohmann::json;

namespace {

/**
 * Indexes of QuotaUse::returned, of the sequence number of QuotaUse::id and of QuotaUse::forwarded in the array for a
 * customer. Earlier builds lack the last two or all three. The origin of the identifier is not sent: it is the sender.
 */
constexpr std::size_t quotaUseReturns = 5;
constexpr std::size_t quotaUseSequence = 6;
constexpr std::size_t quotaUseForwarded = 7;
/** QuotaUse::used is decoded within this bound on both sides, so that sums with the tokens given back don't overflow.
 */
constexpr std::int64_t maxQuotaUse = std::int64_t{1} << 53;

/** A list with more forwarded reports for one customer is malformed; a stand-in sends at most 256. */
constexpr std::size_t maxForwarded = 1024;
/** A greater age is decoded as this one. Ages above the quota's window (5 s by default) are all treated alike. */
constexpr std::uint64_t maxForwardedAgeMs = 60000;

std::uint64_t unsignedFrom(const json &value)
{
    if (!value.is_number_unsigned()) {
        throw json::other_error::create(501, "malformed identifier of a report", &value);
    }
    return value.get<std::uint64_t>();
}

json forwardedReportsOf(const std::vector<ForwardedReport> &reports)
{
    json out = json::array();
    for (const ForwardedReport &one : reports) {
        out.push_back(json::array({one.id.origin, one.id.sequence, one.count, one.seen, one.age.count()}));
    }
    return out;
}

std::vector<ForwardedReport> forwardedReportsFrom(const json &value)
{
    if (!value.is_array() || value.size() > maxForwarded) {
        throw json::other_error::create(501, "malformed list of forwarded reports", &value);
    }
    std::vector<ForwardedReport> reports;
    for (const json &one : value) {
        ForwardedReport report;
        report.id = ReportId{unsignedFrom(one.at(0)), unsignedFrom(one.at(1))};
        report.count = static_cast<std::int64_t>(
            std::min<std::uint64_t>(unsignedFrom(one.at(2)), static_cast<std::uint64_t>(maxQuotaUse)));
        report.seen = one.at(3).get<std::uint32_t>();
        report.age = Millis(static_cast<std::int64_t>(std::min(unsignedFrom(one.at(4)), maxForwardedAgeMs)));
        reports.push_back(report);
    }
    return reports;
}

} // namespace

json quotaReportOf(const QuotaReport &m)
{
    json uses = json::array();
    for (const QuotaUse &use : m.uses) {
        json one = json::array({bytesOf(use.customer), quotaLimitOf(use.limit), use.used, use.wanted, use.seen});
        const bool hasForwarded = !use.forwarded.empty();
        if (!use.returned.empty() || use.id.isKnown() || hasForwarded) {
            one.push_back(quotaReturnsOf(use.returned));
        }
        if (use.id.isKnown() || hasForwarded) {
            one.push_back(use.id.sequence);
        }
        if (hasForwarded) {
            one.push_back(forwardedReportsOf(use.forwarded));
        }
        uses.push_back(std::move(one));
    }
    return makeMessage(MessageType::QuotaReport, m.id, m.configVersion, std::move(uses));
}

QuotaReport quotaReportFrom(const json &in)
{
    QuotaReport m;
    m.id = in.at(firstField).get<std::uint64_t>();
    m.configVersion = in.at(firstField + 1).get<std::uint64_t>();
    for (const json &use : in.at(firstField + 2)) {
        QuotaUse one;
        one.customer = textOf(use.at(0));
        one.limit = quotaLimitFrom(use.at(1));
        one.used = std::clamp(use.at(2).get<std::int64_t>(), -maxQuotaUse, maxQuotaUse);
        one.wanted = use.at(3).get<std::uint32_t>();
        one.seen = use.at(4).get<std::uint32_t>();
        if (use.size() > quotaUseReturns) {
            one.returned = quotaReturnsFrom(use.at(quotaUseReturns));
        }
        if (use.size() > quotaUseSequence) {
            one.id.sequence = unsignedFrom(use.at(quotaUseSequence));
        }
        if (use.size() > quotaUseForwarded) {
            one.forwarded = forwardedReportsFrom(use.at(quotaUseForwarded));
        }
        m.uses.push_back(std::move(one));
    }
    return m;
}

json quotaReplyOf(const QuotaReply &m)
{
    json grants = json::array();
    for (const QuotaGrant &grant : m.grants) {
        grants.push_back(json::array(
            {bytesOf(grant.customer), grant.granted, static_cast<int>(grant.mode), grant.retryAfter.count()}));
    }
    return makeMessage(MessageType::QuotaReply, m.id, std::move(grants));
}

QuotaReply quotaReplyFrom(const json &in)
{
    QuotaReply m;
    m.id = in.at(firstField).get<std::uint64_t>();
    for (const json &grant : in.at(firstField + 1)) {
        const int mode = grant.at(2).get<int>();
        if (mode != static_cast<int>(QuotaMode::Open) && mode != static_cast<int>(QuotaMode::Metered)) {
            throw json::other_error::create(501, "unknown quota mode", &in);
        }
        m.grants.push_back(QuotaGrant{textOf(grant.at(0)), grant.at(1).get<std::uint32_t>(),
                                      static_cast<QuotaMode>(mode), Millis(grant.at(3).get<std::int64_t>())});
    }
    return m;
}

json quotaLoanRequestOf(const QuotaLoanRequest &m)
{
    return makeMessage(MessageType::QuotaLoanRequest, m.id, bytesOf(m.customer), quotaLimitOf(m.limit), m.tokens);
}

QuotaLoanRequest quotaLoanRequestFrom(const json &in)
{
    return QuotaLoanRequest{in.at(firstField).get<std::uint64_t>(), textOf(in.at(firstField + 1)),
                            quotaLimitFrom(in.at(firstField + 2)), in.at(firstField + 3).get<double>()};
}

} // namespace waxwing::wire
