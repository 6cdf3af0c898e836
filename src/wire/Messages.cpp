#include "include/wire/Messages.h"

#include "include/base/Cbor.h"
#include "src/wire/ExecCodec.h"
#include "src/wire/FieldCodec.h"
#include "src/wire/MessageFrame.h"
#include "src/wire/QuotaCodec.h"
#include "src/wire/RecordCodec.h"
#include "src/wire/SlotCodec.h"
#include "src/wire/WorkCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwing {

namespace {

using nlohmann::json;
using namespace wire;

struct Encoder {
    json operator()(const Hello &m) const
    {
        return makeMessage(MessageType::Hello, m.from.id, m.from.incarnation, static_cast<int>(m.revision));
    }
    json operator()(const Exec &m) const
    {
        return execOf(m);
    }
    json operator()(const ExecReply &m) const
    {
        return execReplyOf(m);
    }
    json operator()(const Cancel &m) const
    {
        return makeMessage(MessageType::Cancel, m.id, m.onlyIfQueued);
    }
    json operator()(const RecordsPush &m) const
    {
        return recordsPushOf(m);
    }
    json operator()(const RecordNames &m) const
    {
        return recordNamesOf(m);
    }
    json operator()(const DigestOffer &m) const
    {
        return digestOf(m);
    }
    json operator()(const BucketNames &m) const
    {
        return bucketNamesOf(m);
    }
    json operator()(const Ping &m) const
    {
        return makeMessage(MessageType::Ping, m.id);
    }
    json operator()(const Pong &m) const
    {
        return makeMessage(MessageType::Pong, m.id);
    }
    json operator()(const ClaimHandover &m) const
    {
        return handoverOf(m);
    }
    json operator()(const Work &m) const
    {
        return workOf(m);
    }
    json operator()(const WorkAck &m) const
    {
        return makeMessage(MessageType::WorkAck, m.id, versionsOf(m.versions));
    }
    json operator()(const WorkReply &m) const
    {
        return makeMessage(MessageType::WorkReply, workReplyOf(m));
    }
    json operator()(const Fence &m) const
    {
        return fenceOf(m);
    }
    json operator()(const FenceReply &m) const
    {
        return fenceReplyOf(m);
    }
    json operator()(const StateUpdateRequest &m) const
    {
        return makeMessage(MessageType::StateUpdateRequest, m.id, versionsOf(m.versions), m.wantsConfig,
                           m.wantsRegistry, m.acceptsDeflated);
    }
    json operator()(const StateUpdate &m) const
    {
        json registry = json::array();
        for (const RegistryEntry &entry : m.registry) {
            registry.push_back(registryEntryOf(entry));
        }
        return makeMessage(MessageType::StateUpdate, m.id, versionsOf(m.versions), bytesOf(m.config),
                           std::move(registry), m.provenAge ? json(m.provenAge->count()) : json(),
                           bytesOf(m.deflatedConfig),
                           m.registryChanges ? registryChangesOf(*m.registryChanges) : json());
    }
    json operator()(const BudgetTransferRequest &m) const
    {
        return makeMessage(MessageType::BudgetTransferRequest, m.id, m.service, m.tokens, m.lowPriority);
    }
    json operator()(const BudgetTransferReply &m) const
    {
        return makeMessage(MessageType::BudgetTransferReply, m.id, m.tokens);
    }
    json operator()(const PathSuspicion &m) const
    {
        return makeMessage(MessageType::PathSuspicion, m.node);
    }
    json operator()(const QuotaReport &m) const
    {
        return quotaReportOf(m);
    }
    json operator()(const QuotaLoanRequest &m) const
    {
        return quotaLoanRequestOf(m);
    }
    json operator()(const QuotaLoanReply &m) const
    {
        return makeMessage(MessageType::QuotaLoanReply, m.id, m.tokens);
    }
    json operator()(const SlotReserve &m) const
    {
        return makeMessage(MessageType::SlotReserve, slotReserveOf(m));
    }
    json operator()(const SlotOffer &m) const
    {
        return makeMessage(MessageType::SlotOffer, slotOfferOf(m));
    }
    json operator()(const SlotRelease &m) const
    {
        return makeMessage(MessageType::SlotRelease, m.id);
    }
    json operator()(const HomeReports &m) const
    {
        return homeReportsOf(m);
    }
    json operator()(const QuotaReply &m) const
    {
        return quotaReplyOf(m);
    }
};

StateUpdate stateUpdateFrom(const json &in)
{
    StateUpdate m;
    m.id = in.at(firstField).get<std::uint64_t>();
    m.versions = versionsFrom(in.at(firstField + 1));
    m.config = textOf(in.at(firstField + 2));
    for (const json &entry : in.at(firstField + 3)) {
        m.registry.push_back(registryEntryFrom(entry));
    }
    if (const json &provenAge = optionalField(in, 4); provenAge.is_number_unsigned()) {
        m.provenAge = Millis(provenAge.get<std::int64_t>());
    }
    if (const json &deflated = optionalField(in, 5); deflated.is_binary()) {
        m.deflatedConfig = textOf(deflated);
    }
    if (const json &changes = optionalField(in, 6); changes.is_array()) {
        m.registryChanges = registryChangesFrom(changes);
    }
    return m;
}

Hello helloFrom(const json &in)
{
    Hello m;
    m.from = NodeRef{in.at(firstField).get<std::string>(), in.at(firstField + 1).get<std::uint64_t>()};
    // A later build may state a revision that this one does not know; it includes all that this one knows.
    const json &revision = optionalField(in, 2);
    const auto newest = static_cast<std::uint64_t>(WireRevision::HomeReports);
    const std::uint64_t stated = revision.is_number_unsigned() ? revision.get<std::uint64_t>() : 0;
    m.revision = static_cast<WireRevision>(std::min(stated, newest));
    return m;
}

Message messageFrom(MessageType type, const json &in)
{
    switch (type) {
    case MessageType::Hello:
        return helloFrom(in);
    case MessageType::Exec:
        return execFrom(in);
    case MessageType::ExecReply:
        return execReplyFrom(in);
    case MessageType::Cancel:
        return Cancel{in.at(firstField).get<std::uint64_t>(), in.at(firstField + 1).get<bool>()};
    case MessageType::RecordsPush:
        return recordsPushFrom(in);
    case MessageType::RecordNames:
        return recordNamesFrom(in);
    case MessageType::DigestOffer:
        return digestFrom(in);
    case MessageType::BucketNames:
        return bucketNamesFrom(in);
    case MessageType::Ping:
        return Ping{in.at(firstField).get<std::uint64_t>()};
    case MessageType::Pong:
        return Pong{in.at(firstField).get<std::uint64_t>()};
    case MessageType::ClaimHandover:
        return handoverFrom(in);
    case MessageType::Work:
        return workFrom(in);
    case MessageType::WorkAck:
        return WorkAck{in.at(firstField).get<std::uint64_t>(), versionsFrom(in.at(firstField + 1))};
    case MessageType::WorkReply:
        return workReplyFrom(in.at(firstField));
    case MessageType::Fence:
        return fenceFrom(in);
    case MessageType::FenceReply:
        return fenceReplyFrom(in);
    case MessageType::StateUpdateRequest:
        return StateUpdateRequest{in.at(firstField).get<std::uint64_t>(), versionsFrom(in.at(firstField + 1)),
                                  in.at(firstField + 2).get<bool>(), in.at(firstField + 3).get<bool>(),
                                  optionalField(in, 4).is_boolean() && optionalField(in, 4).get<bool>()};
    case MessageType::StateUpdate:
        return stateUpdateFrom(in);
    case MessageType::BudgetTransferRequest:
        return BudgetTransferRequest{in.at(firstField).get<std::uint64_t>(), in.at(firstField + 1).get<std::string>(),
                                     in.at(firstField + 2).get<double>(), in.at(firstField + 3).get<bool>()};
    case MessageType::BudgetTransferReply:
        return BudgetTransferReply{in.at(firstField).get<std::uint64_t>(), in.at(firstField + 1).get<double>()};
    case MessageType::PathSuspicion:
        return PathSuspicion{in.at(firstField).get<std::string>()};
    case MessageType::QuotaReport:
        return quotaReportFrom(in);
    case MessageType::QuotaReply:
        return quotaReplyFrom(in);
    case MessageType::QuotaLoanRequest:
        return quotaLoanRequestFrom(in);
    case MessageType::QuotaLoanReply:
        return QuotaLoanReply{in.at(firstField).get<std::uint64_t>(), in.at(firstField + 1).get<double>()};
    case MessageType::SlotReserve:
        return slotReserveFrom(in.at(firstField));
    case MessageType::SlotOffer:
        return slotOfferFrom(in.at(firstField));
    case MessageType::SlotRelease:
        return SlotRelease{in.at(firstField).get<std::uint64_t>()};
    case MessageType::HomeReports:
        return homeReportsFrom(in);
    }
    throw json::other_error::create(501, "unknown message type", &in);
}

} // namespace

const char *outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char *fenceStateName(FenceState state)
{
    switch (state) {
    case FenceState::NeverRuns:
        return "never-runs";
    case FenceState::Underway:
        return "under-way";
    case FenceState::Ended:
        return "ended";
    case FenceState::NotKnown:
        return "not-known";
    }
    return "not-known";
}

Body *bodyOf(Message &message)
{
    if (auto *work = std::get_if<Work>(&message)) {
        return &work->request.body;
    }
    if (auto *reply = std::get_if<WorkReply>(&message)) {
        return &reply->response.body;
    }
    if (auto *fenceReply = std::get_if<FenceReply>(&message)) {
        return fenceReply->reply ? &fenceReply->reply->response.body : nullptr;
    }
    if (auto *exec = std::get_if<Exec>(&message)) {
        return &exec->request.body;
    }
    if (auto *update = std::get_if<StateUpdate>(&message)) {
        // Only builds that ask for it get a deflated document; older ones don't expect a body here.
        return &update->deflatedConfig;
    }
    auto *reply = std::get_if<ExecReply>(&message);
    return reply != nullptr ? &reply->response.body : nullptr;
}

std::string encodeMessage(const Message &message)
{
    std::string out;
    json::to_cbor(std::visit(Encoder(), message), out);
    return out;
}

Expected<Message> decodeMessage(const std::string &bytes)
{
    const json in = parseCbor(bytes);
    if (in.is_discarded()) {
        return fail(ErrorCode::Malformed, "not CBOR, or nested too deeply");
    }
    try {
        const int version = in.at(0).get<int>();
        if (version != wireVersion) {
            return fail(ErrorCode::Malformed, "unsupported protocol version " + std::to_string(version));
        }
        return messageFrom(static_cast<MessageType>(in.at(1).get<int>()), in);
    } catch (const json::exception &error) {
        return fail(ErrorCode::Malformed, error.what());
    }
}

} // namespace waxwing
