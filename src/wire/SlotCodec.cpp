#include "src/wire/SlotCodec.h"

#include "src/wire/FieldCodec.h"

namespace waxwing::wire {

using nlohmann::json;

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

} // namespace waxwing::wire
