#include "tests/soak/Injector.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace waxwing::soak {

namespace {

using nlohmann::json;
using testing::pause;

/** Time beyond the grace after which a node that was told to stop counts as hanging. */
constexpr Millis exitMargin{3000};
constexpr Millis busyPoll{20};
/** Bytes at the end of a process's output that its finding shows. */
constexpr std::size_t shownOutput = 400;
/** Longer than any request's timeout. */
constexpr int hangMs = 600000;

json direction(const char *name, const char *field, const json &value)
{
    return {{name, {{field, value}}}};
}

json bothDirections(const char *field, const json &value)
{
    return {{"toTarget", {{field, value}}}, {"fromTarget", {{field, value}}}};
}

} // namespace

Injector::Injector(testing::Mesh &mesh, int nodes, RunRecord &record)
    : mesh_(mesh)
    , nodes_(nodes)
    , record_(record)
{ }

json Injector::customers(bool withSecondKey, bool withSpare)
{
    json firmKeys = json::array({"key-of-firm"});
    if (withSecondKey) {
        firmKeys.push_back("second-key-of-firm");
    }
    json all = json::array({{{"name", "firm"}, {"api_keys", firmKeys}},
                            {{"name", "school"}, {"api_keys", {"key-of-school"}}, {"priority", 0}},
                            {{"name", "small"}, {"api_keys", {"key-of-small"}}, {"rate_per_s", 4}, {"burst", 4}}});
    if (withSpare) {
        all.push_back({{"name", "spare"}, {"api_keys", {"key-of-spare"}}});
    }
    return all;
}

bool Injector::isBusy(const Fault &fault) const
{
    return std::any_of(current_.begin(), current_.end(),
                       [&fault](const Fault &other) { return fault.sharesResource(other); });
}

void Injector::run(const std::vector<Fault> &faults)
{
    std::vector<std::function<void()>> tasks;
    tasks.reserve(faults.size());
    std::string error;
    for (const Fault &fault : faults) {
        tasks.emplace_back([this, &fault, &error] {
            pause(fault.start);
            // A stop may have taken longer than its fault: the next fault of the node waits for its restart.
            while (isBusy(fault)) {
                pause(busyPoll);
            }
            current_.push_back(fault);
            try {
                bring(fault);
            } catch (const std::exception &exception) {
                error = fault.text() + ": " + exception.what();
            }
            current_.erase(std::find_if(current_.begin(), current_.end(),
                                        [&fault](const Fault &other) { return fault.sharesResource(other); }));
        });
    }
    testing::runConcurrently(tasks);
    record_.lastFaultEnded = systemNow();
    if (!error.empty()) {
        throw std::runtime_error("fault not brought about: " + error);
    }
}

void Injector::bring(const Fault &fault)
{
    switch (resourceOf(fault.kind)) {
    case Resource::Link:
    case Resource::StoreLink:
        bringToLink(fault);
        break;
    case Resource::Node:
        bringToNode(fault);
        break;
    case Resource::Store:
        bringToStore(fault);
        break;
    case Resource::Server:
        bringToServer(fault);
        break;
    }
}

void Injector::bringToLink(const Fault &fault)
{
    const auto during = [&](const json &begin, const json &end) {
        mesh_.setLinkFault(fault.target, begin);
        pause(fault.length);
        mesh_.setLinkFault(fault.target, end);
    };
    switch (fault.kind) {
    case FaultKind::LinkDelayed:
        during(bothDirections("delayMs", fault.amount), bothDirections("delayMs", 0));
        break;
    case FaultKind::LinkReset:
        mesh_.setLinkFault(fault.target, {{"reset", true}});
        break;
    case FaultKind::LinkCutToNode:
        during(direction("toTarget", "hold", true), direction("toTarget", "hold", false));
        break;
    case FaultKind::LinkCutFromNode:
        during(direction("fromTarget", "hold", true), direction("fromTarget", "hold", false));
        break;
    case FaultKind::LinkSilent:
        during({{"silenceOpen", true}}, {{"silenceOpen", false}});
        break;
    case FaultKind::LinkSlow:
        during(bothDirections("bytesPerSecond", fault.amount), bothDirections("bytesPerSecond", 0));
        break;
    default:
        mesh_.setStoreLinkFault(fault.target, bothDirections("hold", true));
        pause(fault.length);
        mesh_.setStoreLinkFault(fault.target, bothDirections("hold", false));
        break;
    }
}

void Injector::bringToNode(const Fault &fault)
{
    const Millis from = systemNow();
    endOrPauseNode(fault);
    record_.outages.push_back(Outage{fault.target, from, systemNow()});
}

void Injector::endOrPauseNode(const Fault &fault)
{
    if (fault.kind == FaultKind::NodePaused) {
        mesh_.node(fault.target).signal(SIGSTOP);
        pause(fault.length);
        mesh_.node(fault.target).signal(SIGCONT);
        return;
    }
    down_.insert({Resource::Node, fault.target});
    if (fault.kind == FaultKind::NodeStopped) {
        stopNode(fault);
    } else {
        mesh_.node(fault.target).kill();
    }
    pause(fault.length);
    mesh_.startNode(fault.target);
    down_.erase({Resource::Node, fault.target});
}

void Injector::stopNode(const Fault &fault)
{
    StopRecord stop;
    stop.node = fault.target;
    stop.at = systemNow();
    mesh_.node(fault.target).signal(SIGTERM);
    stop.exitCode = mesh_.node(fault.target).waitForExit(grace + exitMargin);
    stop.exited = systemNow();
    record_.stops.push_back(stop);
    mesh_.node(fault.target).kill();
}

void Injector::bringToStore(const Fault &fault)
{
    const auto during = [&](const json &begin, const json &end) {
        mesh_.setStoreFault(begin);
        pause(fault.length);
        mesh_.setStoreFault(end);
    };
    switch (fault.kind) {
    case FaultKind::StoreSlow:
        during({{"slowMs", fault.amount}}, {{"slowMs", 0}});
        break;
    case FaultKind::StoreDown:
        during({{"outage", true}}, {{"outage", false}});
        break;
    case FaultKind::StoreLosesResponses:
        during({{"loseAnswers", fault.amount}}, {{"loseAnswers", 0}});
        break;
    case FaultKind::StoreForgetsHistory:
        mesh_.setStoreFault({{"forgetHistory", true}, {"cutWatches", true}});
        break;
    case FaultKind::ConfigChanged:
        mesh_.configureCustomers(++configVersion_, customers(true, true));
        pause(fault.length);
        mesh_.configureCustomers(++configVersion_, customers(true));
        break;
    default:
        takeKeyAway(fault);
        break;
    }
}

void Injector::takeKeyAway(const Fault &fault)
{
    mesh_.configureCustomers(++configVersion_, customers(false));
    TakenKey taken{"second-key-of-firm", systemNow() + revokeBound, Millis(0)};
    pause(revokeBound + fault.length);
    taken.until = systemNow();
    record_.takenKeys.push_back(taken);
    mesh_.configureCustomers(++configVersion_, customers(true));
}

void Injector::bringToServer(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::ServerSheds:
        setServerMode(fault, {{"shedPercent", fault.amount}});
        break;
    case FaultKind::ServerHangs:
        setServerMode(fault, {{"workMs", hangMs}});
        break;
    case FaultKind::ServerSlow:
        setServerMode(fault, {{"workMs", fault.amount}});
        break;
    default:
        down_.insert({Resource::Server, fault.target});
        mesh_.server(fault.target).kill();
        pause(fault.length);
        mesh_.startServer(fault.target);
        down_.erase({Resource::Server, fault.target});
        break;
    }
}

void Injector::setServerMode(const Fault &fault, const json &mode)
{
    const auto set = [&](const json &value) {
        for (int server = 0; server < nodes_; ++server) {
            if (fault.target == allTargets || fault.target == server) {
                mesh_.setServerMode(server, value);
            }
        }
    };
    set(mode);
    pause(fault.length);
    set({{"mode", "ok"}});
}

void Injector::noteIfEnded(Resource resource, int index, testing::Process &process)
{
    if (!process.running() && down_.insert({resource, index}).second) {
        const std::string output = process.output();
        const std::string kind = resource == Resource::Node ? "n" : "server ";
        record_.ends.push_back(UnexpectedEnd{kind + std::to_string(index), systemNow(), process.waitForExit(Millis(0)),
                                             output.substr(output.size() - std::min(output.size(), shownOutput))});
    }
}

void Injector::watchProcesses()
{
    for (int index = 0; index < nodes_; ++index) {
        for (const Resource resource : {Resource::Node, Resource::Server}) {
            if (down_.count({resource, index}) == 0) {
                noteIfEnded(resource, index, resource == Resource::Node ? mesh_.node(index) : mesh_.server(index));
            }
        }
    }
}

} // namespace waxwing::soak
