#include "include/wire/Messages.h"

#include "src/wire/FieldCodec.h"
#include "src/wire/SlotCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwing {

namespace {

using nlohmann::json;
using namespace wire;

enum class Type : int {
    Hello = 1,
    Exec,
    ExecReply,
    Cancel,
    RecordsPush,
    DigestOffer,
    BucketNames,
    Ping,
    Pong,
    ClaimHandover,
    RecordNames,
    Work,
    WorkAck,
    WorkReply,
    Fence,
    FenceReply,
    StateUpdateRequest,
    StateUpdate,
    BudgetTransferRequest,
    BudgetTransferReply,
    PathSuspicion,
    QuotaReport,
    QuotaReply,
    QuotaLoanRequest,
    QuotaLoanReply,
    SlotReserve,
    SlotOffer,
    SlotRelease,
};

/** Position of the first field of a message's contents. Positions 0 and 1 hold the protocol version and the type. */
constexpr std::size_t firstField = 2;
/** Place of the tokens given back in the report on a customer. Earlier builds neither send nor read it. */
constexpr std::size_t quotaUseReturns = 5;
/** Keeps sums with the tokens given back within range. */
constexpr std::int64_t maxQuotaUse = std::int64_t{1} << 53;

json startMessage(Type type)
{
    return json::array({wireVersion, static_cast<int>(type)});
}

template<typename... Fields>
json makeMessage(Type type, Fields &&...fields)
{
    json out = startMessage(type);
    (out.push_back(std::forward<Fields>(fields)), ...);
    return out;
}

struct Encoder {
    json operator()(const Hello &m) const
    {
        return makeMessage(Type::Hello, m.from.id, m.from.incarnation, static_cast<int>(m.revision));
    }
    json operator()(const Exec &m) const
    {
        return makeMessage(Type::Exec, m.id, static_cast<int>(m.stage), m.service, m.className, bytesOf(m.customer),
                           bytesOf(m.ticket), m.remaining.count(), requestOf(m.request));
    }
    json operator()(const ExecReply &m) const
    {
        return makeMessage(Type::ExecReply, m.id, static_cast<int>(m.outcome), m.reason, m.retryAfter.count(), m.server,
                           m.freeSlots, m.queued, responseOf(m.response));
    }
    json operator()(const Cancel &m) const
    {
        return makeMessage(Type::Cancel, m.id, m.onlyIfQueued);
    }
    json operator()(const RecordsPush &m) const
    {
        json records = json::array();
        for (const Record &record : m.records) {
            records.push_back(recordOf(record));
        }
        return makeMessage(Type::RecordsPush, std::move(records));
    }
    json operator()(const RecordNames &m) const
    {
        json names = json::array();
        for (const RecordName &name : m.names) {
            names.push_back(nameOf(name));
        }
        return makeMessage(Type::RecordNames, m.want, std::move(names));
    }
    json operator()(const DigestOffer &m) const
    {
        return makeMessage(Type::DigestOffer, json(m.hashes));
    }
    json operator()(const BucketNames &m) const
    {
        json buckets = json::array();
        for (const auto &[bucket, names] : m.buckets) {
            json list = json::array();
            for (const RecordName &name : names) {
                list.push_back(nameOf(name));
            }
            buckets.push_back(json::array({bucket, std::move(list)}));
        }
        return makeMessage(Type::BucketNames, m.answer, std::move(buckets));
    }
    json operator()(const Ping &m) const
    {
        return makeMessage(Type::Ping, m.id);
    }
    json operator()(const Pong &m) const
    {
        return makeMessage(Type::Pong, m.id);
    }
    json operator()(const ClaimHandover &m) const
    {
        json claims = json::array();
        for (const ClaimTransfer &claim : m.claims) {
            claims.push_back(json::array({bytesOf(claim.ticket), claim.requestDigest, static_cast<int>(claim.outcome),
                                          responseOf(claim.response)}));
        }
        json owners = json::array();
        for (const ClaimOwner &owner : m.owners) {
            owners.push_back(json::array({owner.ref.id, owner.ref.incarnation, owner.age.count()}));
        }
        return makeMessage(Type::ClaimHandover, m.id, std::move(owners), std::move(claims));
    }
    json operator()(const Work &m) const
    {
        json out = makeMessage(Type::Work, m.id, bytesOf(m.requestId), m.service, m.route, m.idempotent, m.retryable,
                               m.acceptsGray, m.priority, m.remaining.count(), m.untilObjective.count(),
                               m.queueTimeout.count(), m.helloAge.count(), versionsOf(m.versions), requestOf(m.request),
                               m.keyChecked);
        if (m.reservation != 0) {
            out.push_back(m.reservation);
        }
        return out;
    }
    json operator()(const WorkAck &m) const
    {
        return makeMessage(Type::WorkAck, m.id, versionsOf(m.versions));
    }
    json operator()(const WorkReply &m) const
    {
        return makeMessage(Type::WorkReply, workReplyOf(m));
    }
    json operator()(const Fence &m) const
    {
        return makeMessage(Type::Fence, m.id, refOf(m.target), refOf(m.origin), m.workId, m.queryOnly,
                           m.includeLargeReply, m.workAge.count());
    }
    json operator()(const FenceReply &m) const
    {
        return makeMessage(Type::FenceReply, m.id, static_cast<int>(m.state), m.reply ? workReplyOf(*m.reply) : json());
    }
    json operator()(const StateUpdateRequest &m) const
    {
        return makeMessage(Type::StateUpdateRequest, m.id, versionsOf(m.versions), m.wantsConfig, m.wantsRegistry,
                           m.acceptsDeflated);
    }
    json operator()(const StateUpdate &m) const
    {
        json registry = json::array();
        for (const RegistryEntry &entry : m.registry) {
            registry.push_back(registryEntryOf(entry));
        }
        return makeMessage(Type::StateUpdate, m.id, versionsOf(m.versions), bytesOf(m.config), std::move(registry),
                           m.provenAge ? json(m.provenAge->count()) : json(), bytesOf(m.deflatedConfig));
    }
    json operator()(const BudgetTransferRequest &m) const
    {
        return makeMessage(Type::BudgetTransferRequest, m.id, m.service, m.tokens, m.lowPriority);
    }
    json operator()(const BudgetTransferReply &m) const
    {
        return makeMessage(Type::BudgetTransferReply, m.id, m.tokens);
    }
    json operator()(const PathSuspicion &m) const
    {
        return makeMessage(Type::PathSuspicion, m.node);
    }
    json operator()(const QuotaReport &m) const
    {
        json uses = json::array();
        for (const QuotaUse &use : m.uses) {
            json one = json::array({bytesOf(use.customer), quotaLimitOf(use.limit), use.used, use.wanted, use.seen});
            if (!use.returned.empty()) {
                one.push_back(quotaReturnsOf(use.returned));
            }
            uses.push_back(std::move(one));
        }
        return makeMessage(Type::QuotaReport, m.id, m.configVersion, std::move(uses));
    }
    json operator()(const QuotaLoanRequest &m) const
    {
        return makeMessage(Type::QuotaLoanRequest, m.id, bytesOf(m.customer), quotaLimitOf(m.limit), m.tokens);
    }
    json operator()(const QuotaLoanReply &m) const
    {
        return makeMessage(Type::QuotaLoanReply, m.id, m.tokens);
    }
    json operator()(const SlotReserve &m) const
    {
        return makeMessage(Type::SlotReserve, slotReserveOf(m));
    }
    json operator()(const SlotOffer &m) const
    {
        return makeMessage(Type::SlotOffer, slotOfferOf(m));
    }
    json operator()(const SlotRelease &m) const
    {
        return makeMessage(Type::SlotRelease, m.id);
    }
    json operator()(const QuotaReply &m) const
    {
        json grants = json::array();
        for (const QuotaGrant &grant : m.grants) {
            grants.push_back(json::array(
                {bytesOf(grant.customer), grant.granted, static_cast<int>(grant.mode), grant.retryAfter.count()}));
        }
        return makeMessage(Type::QuotaReply, m.id, std::move(grants));
    }
};

/** Returns a field that earlier builds do not send; null if it is missing. */
const json &optionalField(const json &in, std::size_t field)
{
    static const json missing;
    return in.size() > firstField + field ? in.at(firstField + field) : missing;
}

Work workFrom(const json &in)
{
    Work m;
    m.id = in.at(firstField).get<std::uint64_t>();
    m.requestId = textOf(in.at(firstField + 1));
    m.service = in.at(firstField + 2).get<std::string>();
    m.route = in.at(firstField + 3).get<std::string>();
    m.idempotent = in.at(firstField + 4).get<bool>();
    m.retryable = in.at(firstField + 5).get<bool>();
    m.acceptsGray = in.at(firstField + 6).get<bool>();
    m.priority = in.at(firstField + 7).get<std::uint8_t>();
    m.remaining = Millis(in.at(firstField + 8).get<std::int64_t>());
    m.untilObjective = Millis(in.at(firstField + 9).get<std::int64_t>());
    m.queueTimeout = Millis(in.at(firstField + 10).get<std::int64_t>());
    m.helloAge = Millis(in.at(firstField + 11).get<std::int64_t>());
    m.versions = versionsFrom(in.at(firstField + 12));
    m.request = requestFrom(in.at(firstField + 13));
    m.keyChecked = optionalField(in, 14).is_boolean() && optionalField(in, 14).get<bool>();
    m.reservation = optionalField(in, 15).is_number_unsigned() ? optionalField(in, 15).get<std::uint64_t>() : 0;
    return m;
}

FenceReply fenceReplyFrom(const json &in)
{
    FenceReply m;
    m.id = in.at(firstField).get<std::uint64_t>();
    const int state = in.at(firstField + 1).get<int>();
    if (state < static_cast<int>(FenceState::NeverRuns) || state > static_cast<int>(FenceState::NotKnown)) {
        throw json::other_error::create(501, "unknown fence state", &in);
    }
    m.state = static_cast<FenceState>(state);
    if (!in.at(firstField + 2).is_null()) {
        m.reply = workReplyFrom(in.at(firstField + 2));
    }
    return m;
}

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
    return m;
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
        m.uses.push_back(std::move(one));
    }
    return m;
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

Hello helloFrom(const json &in)
{
    Hello m;
    m.from = NodeRef{in.at(firstField).get<std::string>(), in.at(firstField + 1).get<std::uint64_t>()};
    // A later build may state a revision that this one does not know; it includes all that this one knows.
    const json &revision = optionalField(in, 2);
    const auto newest = static_cast<std::uint64_t>(WireRevision::SlotReservations);
    const std::uint64_t stated = revision.is_number_unsigned() ? revision.get<std::uint64_t>() : 0;
    m.revision = static_cast<WireRevision>(std::min(stated, newest));
    return m;
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
    return m;
}

BucketNames bucketNamesFrom(const json &in)
{
    BucketNames m;
    m.answer = in.at(firstField).get<bool>();
    for (const json &entry : in.at(firstField + 1)) {
        const auto bucket = entry.at(0).get<std::uint32_t>();
        if (bucket >= RecordTable::bucketCount) {
            throw json::other_error::create(501, "bucket out of range", &in);
        }
        std::vector<RecordName> names;
        for (const json &name : entry.at(1)) {
            names.push_back(nameFrom(name));
        }
        m.buckets.emplace_back(bucket, std::move(names));
    }
    return m;
}

DigestOffer digestFrom(const json &in)
{
    const json &hashes = in.at(firstField);
    if (!hashes.is_array() || hashes.size() != RecordTable::bucketCount) {
        throw json::other_error::create(501, "wrong number of bucket hashes", &in);
    }
    DigestOffer m;
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        m.hashes[i] = hashes[i].get<std::uint64_t>();
    }
    return m;
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
    }
    return m;
}

Message messageFrom(Type type, const json &in)
{
    switch (type) {
    case Type::Hello:
        return helloFrom(in);
    case Type::Exec:
        return execFrom(in);
    case Type::ExecReply:
        return execReplyFrom(in);
    case Type::Cancel:
        return Cancel{in.at(firstField).get<std::uint64_t>(), in.at(firstField + 1).get<bool>()};
    case Type::RecordsPush: {
        RecordsPush m;
        for (const json &record : in.at(firstField)) {
            m.records.push_back(recordFrom(record));
        }
        return m;
    }
    case Type::RecordNames: {
        RecordNames m;
        m.want = in.at(firstField).get<bool>();
        for (const json &name : in.at(firstField + 1)) {
            m.names.push_back(nameFrom(name));
        }
        return m;
    }
    case Type::DigestOffer:
        return digestFrom(in);
    case Type::BucketNames:
        return bucketNamesFrom(in);
    case Type::Ping:
        return Ping{in.at(firstField).get<std::uint64_t>()};
    case Type::Pong:
        return Pong{in.at(firstField).get<std::uint64_t>()};
    case Type::ClaimHandover:
        return handoverFrom(in);
    case Type::Work:
        return workFrom(in);
    case Type::WorkAck:
        return WorkAck{in.at(firstField).get<std::uint64_t>(), versionsFrom(in.at(firstField + 1))};
    case Type::WorkReply:
        return workReplyFrom(in.at(firstField));
    case Type::Fence:
        return Fence{in.at(firstField).get<std::uint64_t>(),
                     refFrom(in.at(firstField + 1)),
                     refFrom(in.at(firstField + 2)),
                     in.at(firstField + 3).get<std::uint64_t>(),
                     in.at(firstField + 4).get<bool>(),
                     in.at(firstField + 5).get<bool>(),
                     Millis(in.at(firstField + 6).get<std::int64_t>())};
    case Type::FenceReply:
        return fenceReplyFrom(in);
    case Type::StateUpdateRequest:
        return StateUpdateRequest{in.at(firstField).get<std::uint64_t>(), versionsFrom(in.at(firstField + 1)),
                                  in.at(firstField + 2).get<bool>(), in.at(firstField + 3).get<bool>(),
                                  optionalField(in, 4).is_boolean() && optionalField(in, 4).get<bool>()};
    case Type::StateUpdate:
        return stateUpdateFrom(in);
    case Type::BudgetTransferRequest:
        return BudgetTransferRequest{in.at(firstField).get<std::uint64_t>(), in.at(firstField + 1).get<std::string>(),
                                     in.at(firstField + 2).get<double>(), in.at(firstField + 3).get<bool>()};
    case Type::BudgetTransferReply:
        return BudgetTransferReply{in.at(firstField).get<std::uint64_t>(), in.at(firstField + 1).get<double>()};
    case Type::PathSuspicion:
        return PathSuspicion{in.at(firstField).get<std::string>()};
    case Type::QuotaReport:
        return quotaReportFrom(in);
    case Type::QuotaReply:
        return quotaReplyFrom(in);
    case Type::QuotaLoanRequest:
        return QuotaLoanRequest{in.at(firstField).get<std::uint64_t>(), textOf(in.at(firstField + 1)),
                                quotaLimitFrom(in.at(firstField + 2)), in.at(firstField + 3).get<double>()};
    case Type::QuotaLoanReply:
        return QuotaLoanReply{in.at(firstField).get<std::uint64_t>(), in.at(firstField + 1).get<double>()};
    case Type::SlotReserve:
        return slotReserveFrom(in.at(firstField));
    case Type::SlotOffer:
        return slotOfferFrom(in.at(firstField));
    case Type::SlotRelease:
        return SlotRelease{in.at(firstField).get<std::uint64_t>()};
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

std::string *bodyOf(Message &message)
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
    try {
        const json in = json::from_cbor(bytes);
        const int version = in.at(0).get<int>();
        if (version != wireVersion) {
            return fail(ErrorCode::Malformed, "unsupported protocol version " + std::to_string(version));
        }
        return messageFrom(static_cast<Type>(in.at(1).get<int>()), in);
    } catch (const json::exception &error) {
        return fail(ErrorCode::Malformed, error.what());
    }
}

} // namespace waxwing
