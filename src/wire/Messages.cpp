#include "include/wire/Messages.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace waxwing {

namespace {

using nlohmann::json;

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
    WorkReceipt,
    WorkReply,
    Fence,
    FenceReply,
    NewsRequest,
    News,
    LendRequest,
    LendReply,
    PathSuspicion,
};

/** Positions 0 and 1 of each message hold the protocol version and the type. */
constexpr std::size_t body = 2;
constexpr std::size_t mostHeaders = 1000;

json bytesOf(const std::string &text)
{
    return json::binary({text.begin(), text.end()});
}

std::string textOf(const json &value)
{
    const json::binary_t &bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

json headersOf(const HeaderList &headers)
{
    json out = json::array();
    for (const auto &[name, value] : headers) {
        out.push_back(bytesOf(name));
        out.push_back(bytesOf(value));
    }
    return out;
}

HeaderList headersFrom(const json &value)
{
    HeaderList headers;
    if (!value.is_array() || value.size() % 2 != 0 || value.size() / 2 > mostHeaders) {
        throw json::other_error::create(501, "bad header list", &value);
    }
    for (std::size_t i = 0; i < value.size(); i += 2) {
        headers.emplace_back(textOf(value[i]), textOf(value[i + 1]));
    }
    return headers;
}

json start(Type type)
{
    return json::array({wireVersion, static_cast<int>(type)});
}

template<typename... Fields>
json with(Type type, Fields &&...fields)
{
    json out = start(type);
    (out.push_back(std::forward<Fields>(fields)), ...);
    return out;
}

json requestOf(const HttpRequest &request)
{
    return json::array({request.method, bytesOf(request.target), headersOf(request.headers), bytesOf(request.body)});
}

HttpRequest requestFrom(const json &value)
{
    return HttpRequest{value.at(0).get<std::string>(), textOf(value.at(1)), headersFrom(value.at(2)),
                       textOf(value.at(3))};
}

json responseOf(const HttpResponse &response)
{
    return json::array({response.status, headersOf(response.headers), bytesOf(response.body)});
}

HttpResponse responseFrom(const json &value)
{
    return HttpResponse{value.at(0).get<unsigned>(), headersFrom(value.at(1)), textOf(value.at(2))};
}

Outcome outcomeFrom(const json &value)
{
    const int number = value.get<int>();
    if (number < static_cast<int>(Outcome::Ran) || number > static_cast<int>(Outcome::Unknown)) {
        throw json::other_error::create(501, "unknown outcome", &value);
    }
    return static_cast<Outcome>(number);
}

RecordKind kindFrom(const json &value)
{
    const int number = value.get<int>();
    if (number < static_cast<int>(RecordKind::Node) || number > static_cast<int>(RecordKind::Successor)) {
        throw json::other_error::create(501, "unknown record kind", &value);
    }
    return static_cast<RecordKind>(number);
}

json recordOf(const Record &record)
{
    return json::array({static_cast<int>(record.kind), bytesOf(record.key), record.version.major, record.version.minor,
                        json::binary(record.payload)});
}

Record recordFrom(const json &value)
{
    return Record{kindFrom(value.at(0)), textOf(value.at(1)),
                  RecordVersion{value.at(2).get<std::uint64_t>(), value.at(3).get<std::uint64_t>()},
                  value.at(4).get_binary()};
}

json nameOf(const RecordName &name)
{
    return json::array({static_cast<int>(name.kind), bytesOf(name.key), name.version.major, name.version.minor});
}

RecordName nameFrom(const json &value)
{
    return RecordName{kindFrom(value.at(0)), textOf(value.at(1)),
                      RecordVersion{value.at(2).get<std::uint64_t>(), value.at(3).get<std::uint64_t>()}};
}

constexpr double doubtSteps = 1000.0;
constexpr double slowdownSteps = 100.0;

json refOf(const NodeRef &ref)
{
    return json::array({ref.id, ref.incarnation});
}

NodeRef refFrom(const json &value)
{
    return NodeRef{value.at(0).get<std::string>(), value.at(1).get<std::uint64_t>()};
}

/** An age takes one or two bytes so. */
constexpr Millis configAgeStep{100};
constexpr std::uint64_t mostConfigAgeSteps = KnownVersions::mostConfigAge / configAgeStep;

json versionsOf(const KnownVersions &versions)
{
    // Rounded up: an age may be taken for more than it is, never for less.
    const auto steps = (versions.configAge + configAgeStep - Millis(1)) / configAgeStep;
    return json::array({versions.config, versions.roster, steps, versions.storeAnswers});
}

KnownVersions versionsFrom(const json &value)
{
    const auto steps = std::min<std::uint64_t>(value.at(2).get<std::uint64_t>(), mostConfigAgeSteps);
    return KnownVersions{value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>(),
                         static_cast<std::int64_t>(steps) * configAgeStep, value.at(3).get<bool>()};
}

json loadOf(const HomeLoad &load)
{
    return json::array({load.freeSlots, load.queued, load.wait.count(), static_cast<int>(load.doubt * doubtSteps),
                        static_cast<int>(load.slowdown * slowdownSteps), static_cast<int>(load.shedding * doubtSteps),
                        load.slots});
}

HomeLoad loadFrom(const json &value)
{
    HomeLoad load;
    load.freeSlots = value.at(0).get<std::int32_t>();
    load.queued = value.at(1).get<std::int32_t>();
    load.wait = Millis(value.at(2).get<std::int64_t>());
    load.doubt = value.at(3).get<int>() / doubtSteps;
    load.slowdown = value.at(4).get<int>() / slowdownSteps;
    load.shedding = value.at(5).get<int>() / doubtSteps;
    load.slots = value.at(6).get<std::int32_t>();
    return load;
}

json workReplyOf(const WorkReply &m)
{
    const bool hasResponse =
        m.response.status != HttpResponse().status || !m.response.headers.empty() || !m.response.body.empty();
    json response = hasResponse ? responseOf(m.response) : json();
    return json::array({m.id, static_cast<int>(m.outcome), m.serverFault, m.reachedServer, m.reason, m.server,
                        m.worked.count(), loadOf(m.load), versionsOf(m.versions), std::move(response), json(m.calls),
                        m.innerCall});
}

WorkReply workReplyFrom(const json &in)
{
    WorkReply m;
    m.id = in.at(0).get<std::uint64_t>();
    m.outcome = outcomeFrom(in.at(1));
    m.serverFault = in.at(2).get<bool>();
    m.reachedServer = in.at(3).get<bool>();
    m.reason = in.at(4).get<std::string>();
    m.server = in.at(5).get<std::string>();
    m.worked = Millis(in.at(6).get<std::int64_t>());
    m.load = loadFrom(in.at(7));
    m.versions = versionsFrom(in.at(8));
    if (!in.at(9).is_null()) {
        m.response = responseFrom(in.at(9));
    }
    if (!in.at(10).is_null()) {
        m.calls = in.at(10).get<CallRates>();
    }
    m.innerCall = in.at(11).get<bool>();
    return m;
}

json rosterEntryOf(const RosterEntry &entry)
{
    return json::array(
        {entry.id, entry.links.address, entry.links.port, entry.zone, entry.region, entry.service, entry.revision});
}

RosterEntry rosterEntryFrom(const json &value)
{
    return RosterEntry{
        value.at(0).get<std::string>(), Endpoint{value.at(1).get<std::string>(), value.at(2).get<std::uint16_t>()},
        value.at(3).get<std::string>(), value.at(4).get<std::string>(),
        value.at(5).get<std::string>(), value.at(6).get<std::uint64_t>()};
}

struct Encoder {
    json operator()(const Hello &m) const
    {
        return with(Type::Hello, m.from.id, m.from.incarnation);
    }
    json operator()(const Exec &m) const
    {
        return with(Type::Exec, m.id, static_cast<int>(m.stage), m.service, m.className, bytesOf(m.customer),
                    bytesOf(m.ticket), m.remaining.count(), requestOf(m.request));
    }
    json operator()(const ExecReply &m) const
    {
        return with(Type::ExecReply, m.id, static_cast<int>(m.outcome), m.reason, m.retryAfter.count(), m.server,
                    m.freeSlots, m.queued, responseOf(m.response));
    }
    json operator()(const Cancel &m) const
    {
        return with(Type::Cancel, m.id, m.onlyWaiting);
    }
    json operator()(const RecordsPush &m) const
    {
        json records = json::array();
        for (const Record &record : m.records) {
            records.push_back(recordOf(record));
        }
        return with(Type::RecordsPush, std::move(records));
    }
    json operator()(const RecordNames &m) const
    {
        json names = json::array();
        for (const RecordName &name : m.names) {
            names.push_back(nameOf(name));
        }
        return with(Type::RecordNames, m.want, std::move(names));
    }
    json operator()(const DigestOffer &m) const
    {
        return with(Type::DigestOffer, json(m.hashes));
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
        return with(Type::BucketNames, m.answer, std::move(buckets));
    }
    json operator()(const Ping &m) const
    {
        return with(Type::Ping, m.id);
    }
    json operator()(const Pong &m) const
    {
        return with(Type::Pong, m.id);
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
        return with(Type::ClaimHandover, m.id, std::move(owners), std::move(claims));
    }
    json operator()(const Work &m) const
    {
        return with(Type::Work, m.id, bytesOf(m.requestId), m.service, m.route, m.idempotent, m.repeatable,
                    m.acceptsDoubt, m.priority, m.remaining.count(), m.untilObjective.count(), m.patience.count(),
                    m.helloAge.count(), versionsOf(m.versions), requestOf(m.request));
    }
    json operator()(const WorkReceipt &m) const
    {
        return with(Type::WorkReceipt, m.id, versionsOf(m.versions));
    }
    json operator()(const WorkReply &m) const
    {
        return with(Type::WorkReply, workReplyOf(m));
    }
    json operator()(const Fence &m) const
    {
        return with(Type::Fence, m.id, refOf(m.target), refOf(m.origin), m.workId, m.onlyAsk, m.fetch,
                    m.sentAgo.count());
    }
    json operator()(const FenceReply &m) const
    {
        return with(Type::FenceReply, m.id, static_cast<int>(m.state), m.reply ? workReplyOf(*m.reply) : json());
    }
    json operator()(const NewsRequest &m) const
    {
        return with(Type::NewsRequest, m.id, versionsOf(m.versions), m.wantsConfig, m.wantsRoster);
    }
    json operator()(const News &m) const
    {
        json roster = json::array();
        for (const RosterEntry &entry : m.roster) {
            roster.push_back(rosterEntryOf(entry));
        }
        return with(Type::News, m.id, versionsOf(m.versions), bytesOf(m.config), std::move(roster));
    }
    json operator()(const LendRequest &m) const
    {
        return with(Type::LendRequest, m.id, m.service, m.sends, m.lessUrgent);
    }
    json operator()(const LendReply &m) const
    {
        return with(Type::LendReply, m.id, m.sends);
    }
    json operator()(const PathSuspicion &m) const
    {
        return with(Type::PathSuspicion, m.node);
    }
};

Work workFrom(const json &in)
{
    Work m;
    m.id = in.at(body).get<std::uint64_t>();
    m.requestId = textOf(in.at(body + 1));
    m.service = in.at(body + 2).get<std::string>();
    m.route = in.at(body + 3).get<std::string>();
    m.idempotent = in.at(body + 4).get<bool>();
    m.repeatable = in.at(body + 5).get<bool>();
    m.acceptsDoubt = in.at(body + 6).get<bool>();
    m.priority = in.at(body + 7).get<std::uint8_t>();
    m.remaining = Millis(in.at(body + 8).get<std::int64_t>());
    m.untilObjective = Millis(in.at(body + 9).get<std::int64_t>());
    m.patience = Millis(in.at(body + 10).get<std::int64_t>());
    m.helloAge = Millis(in.at(body + 11).get<std::int64_t>());
    m.versions = versionsFrom(in.at(body + 12));
    m.request = requestFrom(in.at(body + 13));
    return m;
}

FenceReply fenceReplyFrom(const json &in)
{
    FenceReply m;
    m.id = in.at(body).get<std::uint64_t>();
    const int state = in.at(body + 1).get<int>();
    if (state < static_cast<int>(FenceState::NeverRuns) || state > static_cast<int>(FenceState::NotKnown)) {
        throw json::other_error::create(501, "unknown fence state", &in);
    }
    m.state = static_cast<FenceState>(state);
    if (!in.at(body + 2).is_null()) {
        m.reply = workReplyFrom(in.at(body + 2));
    }
    return m;
}

News newsFrom(const json &in)
{
    News m;
    m.id = in.at(body).get<std::uint64_t>();
    m.versions = versionsFrom(in.at(body + 1));
    m.config = textOf(in.at(body + 2));
    for (const json &entry : in.at(body + 3)) {
        m.roster.push_back(rosterEntryFrom(entry));
    }
    return m;
}

Exec execFrom(const json &in)
{
    Exec m;
    m.id = in.at(body).get<std::uint64_t>();
    const int stage = in.at(body + 1).get<int>();
    if (stage != static_cast<int>(ExecStage::Claim) && stage != static_cast<int>(ExecStage::Run)) {
        throw json::other_error::create(501, "unknown stage", &in);
    }
    m.stage = static_cast<ExecStage>(stage);
    m.service = in.at(body + 2).get<std::string>();
    m.className = in.at(body + 3).get<std::string>();
    m.customer = textOf(in.at(body + 4));
    m.ticket = textOf(in.at(body + 5));
    m.remaining = Millis(in.at(body + 6).get<std::int32_t>());
    m.request = requestFrom(in.at(body + 7));
    return m;
}

ExecReply execReplyFrom(const json &in)
{
    ExecReply m;
    m.id = in.at(body).get<std::uint64_t>();
    m.outcome = outcomeFrom(in.at(body + 1));
    m.reason = in.at(body + 2).get<std::string>();
    m.retryAfter = Millis(in.at(body + 3).get<std::int32_t>());
    m.server = in.at(body + 4).get<std::string>();
    m.freeSlots = in.at(body + 5).get<std::int32_t>();
    m.queued = in.at(body + 6).get<std::int32_t>();
    m.response = responseFrom(in.at(body + 7));
    return m;
}

BucketNames bucketNamesFrom(const json &in)
{
    BucketNames m;
    m.answer = in.at(body).get<bool>();
    for (const json &entry : in.at(body + 1)) {
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
    const json &hashes = in.at(body);
    if (!hashes.is_array() || hashes.size() != RecordTable::bucketCount) {
        throw json::other_error::create(501, "wrong number of buckets", &in);
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
    m.id = in.at(body).get<std::uint64_t>();
    for (const json &owner : in.at(body + 1)) {
        m.owners.push_back(ClaimOwner{{owner.at(0).get<std::string>(), owner.at(1).get<std::uint64_t>()},
                                      Millis(owner.at(2).get<std::int64_t>())});
    }
    for (const json &claim : in.at(body + 2)) {
        m.claims.push_back(ClaimTransfer{textOf(claim.at(0)), claim.at(1).get<std::uint64_t>(),
                                         outcomeFrom(claim.at(2)), responseFrom(claim.at(3))});
    }
    return m;
}

Message messageFrom(Type type, const json &in)
{
    switch (type) {
    case Type::Hello:
        return Hello{NodeRef{in.at(body).get<std::string>(), in.at(body + 1).get<std::uint64_t>()}};
    case Type::Exec:
        return execFrom(in);
    case Type::ExecReply:
        return execReplyFrom(in);
    case Type::Cancel:
        return Cancel{in.at(body).get<std::uint64_t>(), in.at(body + 1).get<bool>()};
    case Type::RecordsPush: {
        RecordsPush m;
        for (const json &record : in.at(body)) {
            m.records.push_back(recordFrom(record));
        }
        return m;
    }
    case Type::RecordNames: {
        RecordNames m;
        m.want = in.at(body).get<bool>();
        for (const json &name : in.at(body + 1)) {
            m.names.push_back(nameFrom(name));
        }
        return m;
    }
    case Type::DigestOffer:
        return digestFrom(in);
    case Type::BucketNames:
        return bucketNamesFrom(in);
    case Type::Ping:
        return Ping{in.at(body).get<std::uint64_t>()};
    case Type::Pong:
        return Pong{in.at(body).get<std::uint64_t>()};
    case Type::ClaimHandover:
        return handoverFrom(in);
    case Type::Work:
        return workFrom(in);
    case Type::WorkReceipt:
        return WorkReceipt{in.at(body).get<std::uint64_t>(), versionsFrom(in.at(body + 1))};
    case Type::WorkReply:
        return workReplyFrom(in.at(body));
    case Type::Fence:
        return Fence{
            in.at(body).get<std::uint64_t>(),           refFrom(in.at(body + 1)),    refFrom(in.at(body + 2)),
            in.at(body + 3).get<std::uint64_t>(),       in.at(body + 4).get<bool>(), in.at(body + 5).get<bool>(),
            Millis(in.at(body + 6).get<std::int64_t>())};
    case Type::FenceReply:
        return fenceReplyFrom(in);
    case Type::NewsRequest:
        return NewsRequest{in.at(body).get<std::uint64_t>(), versionsFrom(in.at(body + 1)), in.at(body + 2).get<bool>(),
                           in.at(body + 3).get<bool>()};
    case Type::News:
        return newsFrom(in);
    case Type::LendRequest:
        return LendRequest{in.at(body).get<std::uint64_t>(), in.at(body + 1).get<std::string>(),
                           in.at(body + 2).get<double>(), in.at(body + 3).get<bool>()};
    case Type::LendReply:
        return LendReply{in.at(body).get<std::uint64_t>(), in.at(body + 1).get<double>()};
    case Type::PathSuspicion:
        return PathSuspicion{in.at(body).get<std::string>()};
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
    if (auto *fate = std::get_if<FenceReply>(&message)) {
        return fate->reply ? &fate->reply->response.body : nullptr;
    }
    if (auto *exec = std::get_if<Exec>(&message)) {
        return &exec->request.body;
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
            return fail(ErrorCode::Malformed, "protocol version " + std::to_string(version));
        }
        return messageFrom(static_cast<Type>(in.at(1).get<int>()), in);
    } catch (const json::exception &error) {
        return fail(ErrorCode::Malformed, error.what());
    }
}

} // namespace waxwing
