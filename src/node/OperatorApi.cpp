#include "src/node/OperatorApi.h"

#include "include/report/BurnRecorder.h"
#include "src/node/ClaimService.h"
#include "src/node/GossipService.h"
#include "src/node/HomeService.h"
#include "src/node/IngressService.h"
#include "src/node/IntentService.h"
#include "src/node/MemoryWatch.h"
#include "src/node/NodeCore.h"

#include <nlohmann/json.hpp>

#include <sys/resource.h>

namespace waxwing {

namespace {

using nlohmann::json;

constexpr std::size_t defaultEvents = 100;
constexpr std::size_t maxEvents = 4096;

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

json eventsJson(const std::vector<Event> &events)
{
    json list = json::array();
    for (const Event &event : events) {
        json fields = json::object();
        for (const EventField &field : event.fields) {
            fields[field.first] = field.second;
        }
        const auto ms = millisOf(event.at.time_since_epoch()).count();
        list.push_back({{"at", ms}, {"event", event.name}, {"fields", fields}});
    }
    return list;
}

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &value) { return static_cast<double>(value.tv_sec) + value.tv_usec * 1e-6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

json serversJson(const ServiceHome &home)
{
    json list = json::array();
    for (const ServerView &view : home.servers()) {
        list.push_back({{"server", view.announced.server},
                        {"state", serverStateName(view.announced.state)},
                        {"phase", serverPhaseName(view.phase)},
                        {"present", view.present},
                        {"slots", view.announced.slots},
                        {"inFlight", view.inFlight},
                        {"suspicion", view.suspicion},
                        {"keptForFloor", view.keptForFloor}});
    }
    return list;
}

} // namespace

OperatorApi::OperatorApi(NodeCore &core)
    : core_(core)
{
    views_["/v1/status"] = [this](const std::string &) { return status(); };
    views_["/v1/nodes"] = [this](const std::string &) { return nodes(); };
    views_["/v1/metrics"] = [this](const std::string &) { return core_.metrics.json() + "\n"; };
    views_["/v1/burn"] = [this](const std::string &) { return core_.service<BurnRecorder>("burn").json() + "\n"; };
    views_["/v1/config"] = [this](const std::string &service) { return config(service); };
    views_["/v1/explain"] = [this](const std::string &subject) { return explain(subject); };
    views_["/v1/events"] = [this](const std::string &count) { return newestEvents(count); };
}

HttpReply OperatorApi::handle(const HttpRequest &request)
{
    const auto reply = [](unsigned status, std::string body) {
        return HttpReply{jsonResponse(status, std::move(body)), AfterResponse::KeepOpen};
    };
    const std::size_t queryStart = request.target.find('?');
    const std::string path = request.target.substr(0, queryStart);
    if (path == "/v1/announce") {
        if (request.method != "POST") {
            return reply(405, "{\"error\":\"POST an announcement here\"}\n");
        }
        return HttpReply{core_.service<HomeService>("homes").announce(request.body), AfterResponse::KeepOpen};
    }
    const auto view = views_.find(path);
    if (view == views_.end() || request.method != "GET") {
        std::string known;
        for (const auto &[name, function] : views_) {
            known += " " + name;
        }
        return reply(404, dump({{"error", "unknown path"}, {"known", "POST /v1/announce, GET" + known}}));
    }
    // A view takes at most one query parameter, whose name is ignored.
    const std::size_t equals =
        request.target.find('=', queryStart == std::string::npos ? request.target.size() : queryStart);
    const std::string argument = equals == std::string::npos ? "" : request.target.substr(equals + 1);
    return reply(200, view->second(argument));
}

std::string OperatorApi::status() const
{
    const GossipService &gossip = core_.service<GossipService>("gossip");
    const PeerHub &peers = core_.service<PeerHub>("peers");
    json services = json::object();
    for (const auto &[service, home] : core_.service<HomeService>("homes").homes()) {
        services[service] = {{"servers", serversJson(*home)},
                             {"inService", home->inService()},
                             {"mustKeep", home->floor().mustKeep()},
                             {"pledge", home->floor().pledge()},
                             {"queued", home->queued()},
                             {"inFlight", home->inFlight()}};
    }
    const IntentService &intents = core_.service<IntentService>("intents");
    return dump({{"node", core_.self.id},
                 {"incarnation", hexText(core_.self.incarnation)},
                 {"zone", core_.settings.zone},
                 {"region", core_.settings.region},
                 {"draining", core_.draining},
                 {"nodesUp", gossip.upIds().size()},
                 {"records", gossip.table().size()},
                 {"links", peers.openLinkCount()},
                 {"linkBytesSent", peers.bytesSent()},
                 {"linkBytesReceived", peers.bytesReceived()},
                 {"configurations", intents.size()},
                 {"claims", core_.service<ClaimService>("claims").size()},
                 {"requestsRunning", core_.service<IngressService>("ingress").running()},
                 {"residentBytes", residentBytes()},
                 {"processorSeconds", processorSeconds()},
                 {"homeOf", services}});
}

std::string OperatorApi::nodes() const
{
    json list = json::array();
    for (const NodeRecord *node : core_.service<GossipService>("gossip").nodes()) {
        list.push_back({{"node", node->ref.id},
                        {"incarnation", hexText(node->ref.incarnation)},
                        {"state", nodeStateName(node->state)},
                        {"zone", node->zone},
                        {"region", node->region},
                        {"operators", node->address + ":" + std::to_string(node->httpPort)},
                        {"services", node->services}});
    }
    return dump(list);
}

std::string OperatorApi::config(const std::string &service) const
{
    const IntentService &intents = core_.service<IntentService>("intents");
    json out = json::object();
    for (const auto &[name, revision] : intents.revisions()) {
        if (service.empty() || service == name) {
            out[name] = {{"revision", revision}, {"refusal", intents.refusal(name)}};
        }
    }
    return dump(out);
}

std::string OperatorApi::explain(const std::string &subject) const
{
    return dump(
        {{"node", core_.self.id}, {"subject", subject}, {"events", eventsJson(core_.events.matching(subject))}});
}

std::string OperatorApi::newestEvents(const std::string &count) const
{
    const long requested = std::strtol(count.c_str(), nullptr, 10);
    const std::size_t limit =
        requested > 0 ? std::min<std::size_t>(maxEvents, static_cast<std::size_t>(requested)) : defaultEvents;
    return dump({{"node", core_.self.id}, {"events", eventsJson(core_.events.newest(limit))}});
}

} // namespace waxwing
