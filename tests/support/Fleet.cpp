#include "tests/support/Fleet.h"

#include "platform/ObjectApi.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace waxwing::testing {

namespace {

/** Throws if @p done is false: a fleet that can't be set up is an error, not a failed check of a test. */
void require(bool done, const std::string &what)
{
    if (!done) {
        throw std::runtime_error("test fleet: " + what);
    }
}

using nlohmann::json;

constexpr Millis controlTimeout{3000};

json post(const Endpoint &endpoint, const std::string &target, const json &body)
{
    const auto response = loopClient().exchange(endpoint, HttpRequest{"POST", target, {}, body.dump()}, controlTimeout);
    return response ? json::parse(response->body, nullptr, false) : json();
}

} // namespace

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "waxwing-test-XXXXXX").string();
    require(mkdtemp(pattern.data()) != nullptr, "temporary directory created");
    directory_ = pattern;
    apiProcess_ = std::make_unique<Process>("tests/standins/standin-objectapi", std::vector<std::string>{},
                                            directory_ + "/api.log");
    api_ = Endpoint{"127.0.0.1", apiProcess_->waitForPrintedNumber("port")};
    for (int i = 0; i < options_.nodes; ++i) {
        callers_.push_back(freeEndpoint());
        operators_.push_back(freeEndpoint());
        peers_.push_back(freeEndpoint());
        if (options_.proxies) {
            proxies_.push_back(std::make_unique<Process>("tests/standins/standin-faultproxy",
                                                         std::vector<std::string>{"--target", peers_.back().text()},
                                                         directory_ + "/proxy" + std::to_string(i) + ".log"));
            proxyEndpoints_.push_back(Endpoint{"127.0.0.1", proxies_.back()->waitForPrintedNumber("port")});
            proxyControls_.push_back(Endpoint{"127.0.0.1", proxies_.back()->waitForPrintedNumber("control")});
        }
    }
    for (int i = 0; i < options_.nodes; ++i) {
        startNode(i);
    }
    // The servers start once all nodes listen: a server that can't reach its home announces itself to another one, but
    // tests depend on the home of each server.
    for (int i = 0; i < options_.nodes; ++i) {
        require(eventually([this, i] { return view(i, "/v1/status").is_object(); }), "every node responds");
    }
    for (int i = 0; i < options_.nodes * options_.serversPerNode; ++i) {
        const auto kind = static_cast<std::size_t>(i / options_.nodes) % options_.services.size();
        startServer("s" + std::to_string(i), i % options_.nodes, options_.services[kind]);
    }
    applyIntents();
    require(eventually([this] { return converged(); }, std::chrono::seconds(30)), "every node lists every server");
}

Fleet::~Fleet()
{
    servers_.clear();
    nodes_.clear();
    proxies_.clear();
    apiProcess_.reset();
    std::error_code ignored;
    if (std::getenv("WAXWING_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(directory_, ignored);
    }
}

std::string Fleet::settingsFile(int index)
{
    const auto i = static_cast<std::size_t>(index);
    json settings = {
        {"node", "n" + std::to_string(index)},
        {"zone", "z" + std::to_string(index)},
        {"region", index * options_.regions / options_.nodes == 0 ? "palermo" : "catania"},
        {"listen", {{"callers", callers_[i].text()}, {"peers", peers_[i].text()}, {"operators", operators_[i].text()}}},
        {"objectApi", api_.text()},
        {"seeds", json::array()},
        {"times", {{"ramp", options_.ramp}, {"firstEjection", "2s"}, {"antiEntropy", "1s"}}}};
    for (std::size_t other = 0; other < peers_.size(); ++other) {
        settings["seeds"].push_back((options_.proxies ? proxyEndpoints_[other] : peers_[other]).text());
    }
    if (options_.proxies) {
        settings["listen"]["advertisedPeers"] = proxyEndpoints_[i].text();
    }
    std::string path = directory_ + "/n" + std::to_string(index) + ".json";
    std::ofstream(path) << settings.dump(2);
    return path;
}

void Fleet::startNode(int index)
{
    nodes_[index].reset();
    nodes_[index] = std::make_unique<Process>(
        nodeProgram(index, options_.upgrade, starts_[index]++),
        std::vector<std::string>{"--settings", settingsFile(index)},
        directory_ + "/n" + std::to_string(index) + "-"
            + std::to_string(std::chrono::steady_clock::now().time_since_epoch().count()) + ".log");
}

void Fleet::startServer(const std::string &name, int home, const std::string &service)
{
    std::string homes = operators(home).text();
    for (int i = 0; i < options_.nodes; ++i) {
        homes += "," + operators((home + i) % options_.nodes).text();
    }
    std::vector<std::string> arguments = {"--service", service,
                                          "--name",    name,
                                          "--homes",   homes,
                                          "--ledger",  directory_ + "/ledger." + name,
                                          "--work-ms", std::to_string(options_.workMs),
                                          "--slots",   std::to_string(options_.slots)};
    if (options_.proxyServer && name == "s0") {
        const Endpoint own = freeEndpoint();
        serverProxy_ =
            std::make_unique<Process>("tests/standins/standin-faultproxy",
                                      std::vector<std::string>{"--target", own.text()}, directory_ + "/proxy-s0.log");
        serverProxyControl_ = Endpoint{"127.0.0.1", serverProxy_->waitForPrintedNumber("control")};
        arguments.insert(arguments.end(), {"--port", std::to_string(own.port), "--announced-port",
                                           std::to_string(serverProxy_->waitForPrintedNumber("port"))});
    }
    servers_[name].reset();
    servers_[name] =
        std::make_unique<Process>("tests/standins/standin-backend", arguments, directory_ + "/" + name + ".log");
}

Process &Fleet::node(int index)
{
    return *nodes_.at(index);
}

Process &Fleet::server(const std::string &name)
{
    return *servers_.at(name);
}

std::vector<std::string> Fleet::serverNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, process] : servers_) {
        names.push_back(name);
    }
    return names;
}

void Fleet::setServerMode(const std::string &name, const json &mode)
{
    const json reply = post(Endpoint{"127.0.0.1", server(name).waitForPrintedNumber("port")}, "/_mode", mode);
    require(reply.is_object(), "server accepts the mode");
}

void Fleet::setApiFault(const json &fault)
{
    require(post(api_, "/_fault", fault).is_object(), "object API accepts the fault");
}

void Fleet::setServerFault(const json &fault)
{
    require(post(serverProxyControl_, "/_fault", fault).is_object(), "proxy of s0 accepts the fault");
}

void Fleet::setProxyFault(int node, const json &fault)
{
    require(post(proxyControls_.at(static_cast<std::size_t>(node)), "/_fault", fault).is_object(),
            "proxy of the node accepts the fault");
}

json Fleet::view(int node, const std::string &target)
{
    const auto response = loopClient().exchange(operators(node), HttpRequest{"GET", target, {}, {}}, controlTimeout);
    return response ? json::parse(response->body, nullptr, false) : json();
}

json Fleet::apiStats()
{
    const auto response = loopClient().exchange(api_, HttpRequest{"GET", "/_stats", {}, {}}, controlTimeout);
    return response ? json::parse(response->body, nullptr, false) : json();
}

bool Fleet::writeObject(const std::string &kind, const std::string &name, std::uint64_t version, const json &value)
{
    return ObjectApi(loopClient(), api_).update(kind, name, version, value.dump()).kind == UpdateResult::Kind::Stored;
}

CallResult Fleet::send(int node, const HttpRequest &request, Millis timeout)
{
    HttpRequest addressed = request;
    if (headerValue(request.headers, "Host").empty()) {
        addressed.headers.emplace_back("Host", options_.services.front());
    }
    const auto response = loopClient().exchange(callers(node), addressed, timeout);
    CallResult result;
    if (!response) {
        result.reason = exchangeFailureName(response.error().failure);
        return result;
    }
    result.status = response->status;
    result.outcome = std::string(headerValue(response->headers, "Waxwing-Outcome"));
    result.reason = std::string(headerValue(response->headers, "Waxwing-Reason"));
    result.body = response->body.text();
    result.headers = response->headers;
    return result;
}

CallResult Fleet::read(int node, const std::string &id)
{
    return send(node, HttpRequest{"GET", "/sessions/" + id, {{"X-Request-Id", id}}, {}});
}

CallResult Fleet::book(int node, const std::string &id, const std::string &key, const std::string &body)
{
    HttpRequest request{"POST", "/bookings", {{"X-Request-Id", id}}, body};
    if (!key.empty()) {
        request.headers.emplace_back("Idempotency-Key", key);
    }
    return send(node, request);
}

std::string Fleet::ticket(int node)
{
    const json body = json::parse(send(node, HttpRequest{"POST", "/.waxwing/ticket", {}, {}}).body, nullptr, false);
    return body.is_object() ? body.value("ticket", "") : "";
}

int Fleet::ctl(const std::vector<std::string> &arguments, std::string *output, int node)
{
    std::vector<std::string> allArguments = arguments;
    allArguments.insert(allArguments.end(), {"--api", api_.text(), "--node", operators(node).text()});
    static int run = 0;
    const bool noneReplaced =
        std::all_of(starts_.begin(), starts_.end(), [](const auto &start) { return start.second == 1; });
    const std::string program = options_.upgrade && noneReplaced ? otherProgram("waxwingctl") : "waxwingctl";
    Process process(program, allArguments, directory_ + "/ctl" + std::to_string(++run) + ".log");
    const int code = process.waitForExit();
    if (output != nullptr) {
        *output = process.output();
    }
    return code;
}

std::string Fleet::intentsFile(const std::string &responseTime)
{
    const auto classOf = [&](const char *method, const char *prefix, bool idempotent) {
        return json{{"routes", {{{"methods", {method}}, {"prefix", prefix}}}},
                    {"idempotent", idempotent},
                    {"responseTime", responseTime},
                    {"successRate", "99.5%"},
                    {"healthyCapacityFloor", options_.floor},
                    {"ejection", options_.ejection},
                    {"deadline", "3s"}};
    };
    json document = {{"services", json::object()}};
    for (const std::string &service : options_.services) {
        document["services"][service]["classes"] = {{"calendar", classOf("GET", "/sessions", true)},
                                                    {"booking", classOf("POST", "/bookings", false)}};
    }
    std::string path = directory_ + "/intents-" + responseTime + ".json";
    std::ofstream(path) << document.dump(2);
    return path;
}

void Fleet::applyIntents()
{
    std::string output;
    const bool applied = eventually(
        [&] {
            return ctl({"apply", intentsFile(), "--wait"}, &output) == 0;
        },
        std::chrono::seconds(20));
    require(applied, "intents in force: " + output);
}

std::map<std::string, int> Fleet::executions() const
{
    std::map<std::string, int> counts;
    for (const auto &[name, process] : servers_) {
        std::ifstream ledger(directory_ + "/ledger." + name);
        std::string server;
        std::string id;
        std::string rest;
        while (ledger >> server >> id && std::getline(ledger, rest)) {
            ++counts[id];
        }
    }
    return counts;
}

int Fleet::inService()
{
    int total = 0;
    for (int i = 0; i < options_.nodes; ++i) {
        const json status = view(i, "/v1/status");
        if (status.is_object()) {
            for (const json &home : status["homeOf"]) {
                total += home.value("inService", 0);
            }
        }
    }
    return total;
}

bool Fleet::converged()
{
    for (int i = 0; i < options_.nodes; ++i) {
        const json nodes = view(i, "/v1/nodes");
        int homes = 0;
        for (const json &node : nodes.is_array() ? nodes : json::array()) {
            int servers = 0;
            for (const json &count : node["services"]) {
                servers += count.get<int>();
            }
            homes += node.value("state", "") == "up" && servers == options_.serversPerNode ? 1 : 0;
        }
        if (homes != options_.nodes) {
            return false;
        }
    }
    return true;
}

Endpoint Fleet::callers(int node) const
{
    return callers_.at(static_cast<std::size_t>(node));
}

Endpoint Fleet::operators(int node) const
{
    return operators_.at(static_cast<std::size_t>(node));
}

Endpoint Fleet::peers(int node) const
{
    return peers_.at(static_cast<std::size_t>(node));
}

Endpoint Fleet::api() const
{
    return api_;
}

std::string Fleet::directory() const
{
    return directory_;
}

const FleetOptions &Fleet::options() const
{
    return options_;
}

} // namespace waxwing::testing
