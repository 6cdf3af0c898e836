#include "src/wire/ExecCodec.h"

#include "src/wire/FieldCodec.h"
#include "src/wire/MessageFrame.h"

namespace waxwing::wire {

using nlohmann::json;

json execOf(const Exec &m)
{
    return makeMessage(MessageType::Exec, m.id, static_cast<int>(m.stage), m.service, m.className, bytesOf(m.customer),
                       bytesOf(m.ticket), m.remaining.count(), requestOf(m.request));
}

Exec execFrom(const json &in)
{
    Exec m;
    m.id = in.at(firstField).get<std::uint64_t>();
    const int stage = in.at(firstField + 1).get<int>();
    if (stage != static_cast<int>(ExecStage::Claim) && stage != static_cast<int>(ExecStage::Run)) {
        throw json::other_error::create(501, "unknown stage of an Exec", &in);
    }
    m.stage = static_cast<ExecStage>(stage);
    m.service = in.at(firstField + 2).get<std::string>();
    m.className = in.at(firstField + 3).get<std::string>();
    m.customer = textOf(in.at(firstField + 4));
    m.ticket = textOf(in.at(firstField + 5));
    m.remaining = Millis(in.at(firstField + 6).get<std::int32_t>());
    m.request = requestFrom(in.at(firstField + 7));
    return m;
}

json execReplyOf(const ExecReply &m)
{
    return makeMessage(MessageType::ExecReply, m.id, static_cast<int>(m.outcome), m.reason, m.retryAfter.count(),
                       m.server, m.freeSlots, m.queued, responseOf(m.response));
}

ExecReply execReplyFrom(const json &in)
{
    ExecReply m;
    m.id = in.at(firstField).get<std::uint64_t>();
    m.outcome = outcomeFrom(in.at(firstField + 1));
    m.reason = in.at(firstField + 2).get<std::string>();
    m.retryAfter = Millis(in.at(firstField + 3).get<std::int32_t>());
    m.server = in.at(firstField + 4).get<std::string>();
    m.freeSlots = in.at(firstField + 5).get<std::int32_t>();
    m.queued = in.at(firstField + 6).get<std::int32_t>();
    m.response = responseFrom(in.at(firstField + 7));
    if (replaceInvalidResponse(m.response, m.outcome)) {
        m.reason = invalidStatusReason;
    }
    return m;
}

json handoverOf(const ClaimHandover &m)
{
    json claims = json::array();
    for (const ClaimTransfer &claim : m.claims) {
        claims.push_back(json::array(
            {bytesOf(claim.ticket), claim.requestDigest, static_cast<int>(claim.outcome), responseOf(claim.response)}));
    }
    json owners = json::array();
    for (const ClaimOwner &owner : m.owners) {
        owners.push_back(json::array({owner.ref.id, owner.ref.incarnation, owner.age.count()}));
    }
    return makeMessage(MessageType::ClaimHandover, m.id, std::move(owners), std::move(claims));
}

ClaimHandover handoverFrom(const json &in)
{
    ClaimHandover m;
    m.id = in.at(firstField).get<std::uint64_t>();
    for (const json &owner : in.at(firstField + 1)) {
        m.owners.push_back(ClaimOwner{{owner.at(0).get<std::string>(), owner.at(1).get<std::uint64_t>()},
                                      Millis(owner.at(2).get<std::int64_t>())});
    }
    for (const json &claim : in.at(firstField + 2)) {
        m.claims.push_back(ClaimTransfer{textOf(claim.at(0)), claim.at(1).get<std::uint64_t>(),
                                         outcomeFrom(claim.at(2)), responseFrom(claim.at(3))});
        replaceInvalidResponse(m.claims.back().response, m.claims.back().outcome);
    }
    return m;
}

} // namespace waxwing::wire
