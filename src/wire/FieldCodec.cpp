#include "src/wire/FieldCodec.h"

#include <algorithm>

namespace waxwing::wire {

using nlohmann::json;

namespace {

constexpr std::size_t maxHeaders = 1000;
constexpr double probabilitySteps = 1000.0;
constexpr double slowdownSteps = 100.0;
/** Ages are encoded in these steps, so that each takes one or two bytes. */
constexpr Millis configAgeStep{100};
/** A greater age is decoded as this one: QuotaCounter gives back no tokens as old as that. */
constexpr std::uint64_t maxReturnAgeMs = 3600000;
/** Upper bound on the entries of one list. QuotaLedger states two windows in steps of 50 ms, which takes far fewer. */
constexpr std::size_t maxReturns = 10000;
constexpr std::uint64_t maxConfigAgeSteps = KnownVersions::maxConfigAge / configAgeStep;

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
    if (!value.is_array() || value.size() % 2 != 0 || value.size() / 2 > maxHeaders) {
        throw json::other_error::create(501, "malformed header list", &value);
    }
    for (std::size_t i = 0; i < value.size(); i += 2) {
        headers.emplace_back(textOf(value[i]), textOf(value[i + 1]));
    }
    return headers;
}

RecordKind kindFrom(const json &value)
{
    const int number = value.get<int>();
    if (number < static_cast<int>(RecordKind::Node) || number > static_cast<int>(RecordKind::Successor)) {
        throw json::other_error::create(501, "unknown record kind", &value);
    }
    return static_cast<RecordKind>(number);
}

} // namespace

json bytesOf(const std::string &text)
{
    return json::binary({text.begin(), text.end()});
}

std::string textOf(const json &value)
{
    const json::binary_t &bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
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
    json out = json::array({response.status, headersOf(response.headers), bytesOf(response.body)});
    if (response.isCloseDelimited) {
        out.push_back(true);
    }
    return out;
}

HttpResponse responseFrom(const json &value)
{
    // Builds that don't know the fourth element neither send it nor read it.
    constexpr std::size_t closeDelimited = 3;
    return HttpResponse{value.at(0).get<unsigned>(), headersFrom(value.at(1)), textOf(value.at(2)),
                        value.size() > closeDelimited && value.at(closeDelimited).get<bool>()};
}

bool replaceInvalidResponse(HttpResponse &response, Outcome &outcome)
{
    if (statusClassOf(response.status) == StatusClass::Final) {
        return false;
    }
    response = {};
    outcome = Outcome::Unknown;
    return true;
}

Outcome outcomeFrom(const json &value)
{
    const int number = value.get<int>();
    if (number < static_cast<int>(Outcome::Ran) || number > static_cast<int>(Outcome::Unknown)) {
        throw json::other_error::create(501, "unknown outcome", &value);
    }
    return static_cast<Outcome>(number);
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

json refOf(const NodeRef &ref)
{
    return json::array({ref.id, ref.incarnation});
}

NodeRef refFrom(const json &value)
{
    return NodeRef{value.at(0).get<std::string>(), value.at(1).get<std::uint64_t>()};
}

json versionsOf(const KnownVersions &versions)
{
    // Rounded up: the receiver may overestimate the age, but must not underestimate it.
    const auto steps = (versions.configAge + configAgeStep - Millis(1)) / configAgeStep;
    return json::array({versions.config, versions.registry, steps, versions.isStoreReachable});
}

KnownVersions versionsFrom(const json &value)
{
    const auto steps = std::min<std::uint64_t>(value.at(2).get<std::uint64_t>(), maxConfigAgeSteps);
    return KnownVersions{value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>(),
                         static_cast<std::int64_t>(steps) * configAgeStep, value.at(3).get<bool>()};
}

json quotaLimitOf(const QuotaLimit &limit)
{
    return json::array({static_cast<float>(limit.ratePerSecond), static_cast<float>(limit.burst)});
}

QuotaLimit quotaLimitFrom(const json &value)
{
    return QuotaLimit{value.at(0).get<double>(), value.at(1).get<double>()};
}

json quotaReturnsOf(const std::vector<QuotaReturn> &returned)
{
    json out = json::array();
    for (const QuotaReturn &one : returned) {
        out.push_back(json::array({one.age.count(), one.count}));
    }
    return out;
}

std::vector<QuotaReturn> quotaReturnsFrom(const json &value)
{
    if (!value.is_array() || value.size() > maxReturns) {
        throw json::other_error::create(501, "malformed list of returned tokens", &value);
    }
    std::vector<QuotaReturn> returned;
    for (const json &one : value) {
        if (!one.at(0).is_number_unsigned() || !one.at(1).is_number_unsigned()) {
            throw json::other_error::create(501, "malformed list of returned tokens", &value);
        }
        const auto age = std::min<std::uint64_t>(one.at(0).get<std::uint64_t>(), maxReturnAgeMs);
        returned.push_back(QuotaReturn{Millis(static_cast<std::int64_t>(age)), one.at(1).get<std::uint32_t>()});
    }
    return returned;
}

json loadOf(const HomeLoad &load)
{
    return json::array({load.freeSlots, load.queued, load.wait.count(),
                        static_cast<int>(load.grayProbability * probabilitySteps),
                        static_cast<int>(load.slowdown * slowdownSteps),
                        static_cast<int>(load.shedRate * probabilitySteps), load.slots});
}

HomeLoad loadFrom(const json &value)
{
    HomeLoad load;
    load.freeSlots = value.at(0).get<std::int32_t>();
    load.queued = value.at(1).get<std::int32_t>();
    load.wait = Millis(value.at(2).get<std::int64_t>());
    load.grayProbability = value.at(3).get<int>() / probabilitySteps;
    load.slowdown = value.at(4).get<int>() / slowdownSteps;
    load.shedRate = value.at(5).get<int>() / probabilitySteps;
    load.slots = value.at(6).get<std::int32_t>();
    return load;
}

json workReplyOf(const WorkReply &m)
{
    const bool hasResponse =
        m.response.status != HttpResponse().status || !m.response.headers.empty() || !m.response.body.empty();
    json response = hasResponse ? responseOf(m.response) : json();
    return json::array({m.id, static_cast<int>(m.outcome), m.serverFault, m.reachedServer, m.reason, m.server,
                        m.processingTime.count(), loadOf(m.load), versionsOf(m.versions), std::move(response),
                        json(m.calls), m.nestedCall});
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
    m.processingTime = Millis(in.at(6).get<std::int64_t>());
    m.load = loadFrom(in.at(7));
    m.versions = versionsFrom(in.at(8));
    if (!in.at(9).is_null()) {
        m.response = responseFrom(in.at(9));
    }
    if (replaceInvalidResponse(m.response, m.outcome)) {
        m.serverFault = true;
        m.reason = invalidStatusReason;
    }
    if (!in.at(10).is_null()) {
        m.calls = in.at(10).get<CallRates>();
    }
    m.nestedCall = in.at(11).get<bool>();
    return m;
}

json registryEntryOf(const RegistryEntry &entry)
{
    return json::array(
        {entry.id, entry.links.address, entry.links.port, entry.zone, entry.region, entry.service, entry.revision});
}

RegistryEntry registryEntryFrom(const json &value)
{
    return RegistryEntry{
        value.at(0).get<std::string>(), Endpoint{value.at(1).get<std::string>(), value.at(2).get<std::uint16_t>()},
        value.at(3).get<std::string>(), value.at(4).get<std::string>(),
        value.at(5).get<std::string>(), value.at(6).get<std::uint64_t>()};
}

json registryChangesOf(const RegistryChanges &changes)
{
    json entries = json::array();
    for (const RegistryEntry &entry : changes.entries) {
        entries.push_back(registryEntryOf(entry));
    }
    json removals = json::array();
    for (const RegistryRemoval &removal : changes.removals) {
        removals.push_back(json::array({removal.id, removal.revision}));
    }
    return json::array({changes.since, changes.revision, std::move(entries), std::move(removals)});
}

RegistryChanges registryChangesFrom(const json &value)
{
    RegistryChanges changes;
    changes.since = value.at(0).get<std::uint64_t>();
    changes.revision = value.at(1).get<std::uint64_t>();
    for (const json &entry : value.at(2)) {
        changes.entries.push_back(registryEntryFrom(entry));
    }
    for (const json &removal : value.at(3)) {
        changes.removals.push_back(
            RegistryRemoval{removal.at(0).get<std::string>(), removal.at(1).get<std::uint64_t>()});
    }
    return changes;
}

} // namespace waxwing::wire
