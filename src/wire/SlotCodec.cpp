#include "src/wire/SlotCodec.h"

#include "src/wire/FieldCodec.h"
#include "src/wire/MessageFrame.h"

namespace waxwing::wire {

using nlohmann::json;

namespace {

/** Above what any build sends. */
constexpr std::size_t maxReportsPerMessage = 256;

} // namespace

json slotReserveOf(const SlotReserve &m)
{
    return json::array({m.id, m.service, m.route, bytesOf(m.customer), m.priority, m.retryable, m.remaining.count(),
                        m.untilObjective.count(), m.helloAge.count()});
}

SlotReserve slotReserveFrom(const json &in)
{
    SlotReserve m;
    m.id = in.at(0).get<std::uint64_t>();
    m.service = in.at(1).get<std::string>();
    m.route = in.at(2).get<std::string>();
    m.customer = textOf(in.at(3));
    m.priority = in.at(4).get<std::uint8_t>();
    m.retryable = in.at(5).get<bool>();
    m.remaining = Millis(in.at(6).get<std::int64_t>());
    m.untilObjective = Millis(in.at(7).get<std::int64_t>());
    m.helloAge = Millis(in.at(8).get<std::int64_t>());
    return m;
}

json slotOfferOf(const SlotOffer &m)
{
    return json::array({m.id, m.validFor.count(), m.reason, loadOf(m.load)});
}

SlotOffer slotOfferFrom(const json &in)
{
    SlotOffer m;
    m.id = in.at(0).get<std::uint64_t>();
    m.validFor = Millis(in.at(1).get<std::int64_t>());
    m.reason = in.at(2).get<std::string>();
    m.load = loadFrom(in.at(3));
    return m;
}

json homeReportsOf(const HomeReports &m)
{
    json reports = json::array();
    for (const HomeReport &report : m.reports) {
        reports.push_back(json::array({report.node, report.sequence, report.age.count(), loadOf(report.load)}));
    }
    return makeMessage(MessageType::HomeReports, std::move(reports));
}

HomeReports homeReportsFrom(const json &in)
{
    const json &reports = in.at(firstField);
    if (!reports.is_array() || reports.size() > maxReportsPerMessage) {
        throw json::other_error::create(501, "malformed list of home reports", &in);
    }
    HomeReports m;
    for (const json &one : reports) {
        HomeReport report;
        report.node = one.at(0).get<std::string>();
        report.sequence = one.at(1).get<std::uint64_t>();
        report.age = Millis(one.at(2).get<std::int64_t>());
        report.load = loadFrom(one.at(3));
        m.reports.push_back(std::move(report));
    }
    return m;
}

} // namespace waxwing::wire
