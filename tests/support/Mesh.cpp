#include "tests/support/Mesh.h"

#include "include/fleet/NodeRegistry.h"
#include "platform/ConfigDecoder.h"
#include "platform/Names.h"
#include "platform/ObjectApi.h"
#include "src/fiber/FiberLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace waxwing::testing {

namespace {

using nlohmann::json;
namespace names = platform::names;

constexpr Millis requestTimeout{2000};

void require(bool done, const std::string &error)
{
    if (!done) {
        throw std::runtime_error("test mesh: " + error);
    }
}

} // namespace

json Mesh::configDocument(std::uint64_t version, const std::string &service) const
{
    const auto rule = [this](const std::string &name, const std::string &kind, const std::string &prefix,
                             const std::string &to) {
        return json{{"name", name},
                    {"kind", kind},
                    {"target_latency_ms", options_.objectiveMs},
                    {"priority", 1},
                    {"public", false},
                    {"match", {{"path_prefix", prefix}}},
                    {"action", {{"service", to}, {"timeout_ms", options_.timeoutMs}, {"max_attempts", 2}}}};
    };
    json open = rule("open", "safe", "/open/", "desk");
    open["public"] = true;
    json deskRules =
        json::array({rule("browse", "safe", "/dates/", "desk"), rule("book", "unsafe", "/seats/", service), open});
    if (options_.urgentRoute) {
        json urgent = rule("urgent", "safe", "/urgent/", "desk");
        urgent["priority"] = 0;
        deskRules.push_back(urgent);
    }
    json spareRules = json::array();
    for (int i = 0; i < options_.spareRoutes; ++i) {
        spareRules.push_back(rule("spare" + std::to_string(i), "safe", "/spare" + std::to_string(i) + "/", "desk"));
    }
    if (options_.downloads) {
        deskRules.push_back(rule("files", names::largeResponseKind, "/files/", "desk"));
    }
    json document = {{"version", "r" + std::to_string(version)},
                     {"limits",
                      {{"max_header_bytes", 16384},
                       {"max_body_bytes", options_.maxBodyBytes},
                       {"header_timeout_ms", 2000},
                       {"idle_timeout_ms", 5000}}},
                     {"listeners", json::array({{{"host", "desk.example"}, {"rules", deskRules}},
                                                {{"host", "spare.example"}, {"rules", spareRules}}})},
                     {"clusters", json::array()}};
    if (!options_.customers.is_null()) {
        document["tenants"] = options_.customers;
    }
    return document;
}

void Mesh::startProxy(std::unique_ptr<Process> &proxy, const Endpoint &target, const std::string &name,
                      Endpoint &address, Endpoint &control) const
{
    proxy = std::make_unique<Process>("tests/standins/standin-faultproxy",
                                      std::vector<std::string>{"--target", target.text()},
                                      directory_ + "/" + name + ".log");
    address = Endpoint{"127.0.0.1", proxy->waitForPrintedNumber("port")};
    control = Endpoint{"127.0.0.1", proxy->waitForPrintedNumber("control")};
}

Mesh::Mesh(MeshOptions options)
    : options_(std::move(options))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "waxwing-mesh-XXXXXX").string();
    require(mkdtemp(pattern.data()) != nullptr, "cannot create a temporary directory");
    directory_ = pattern;
    storeProcess_ = std::make_unique<Process>("tests/standins/standin-objectapi", std::vector<std::string>{},
                                              directory_ + "/store.log");
    store_ = Endpoint{"127.0.0.1", storeProcess_->waitForPrintedNumber("port")};
    for (std::size_t i = 0; i < options_.services.size(); ++i) {
        Member member;
        for (Endpoint *one :
             {&member.callers, &member.links, &member.control, &member.readiness, &member.serverAddress}) {
            *one = freeEndpoint();
        }
        member.advertisedLinks = member.links;
        if (options_.proxies) {
            startProxy(member.proxy, member.links, "proxy" + std::to_string(i), member.advertisedLinks,
                       member.proxyControl);
        }
        member.serverEndpoint = member.serverAddress;
        if (options_.serverProxies) {
            startProxy(member.serverProxy, member.serverAddress, "serverproxy" + std::to_string(i),
                       member.serverEndpoint, member.serverProxyControl);
        }
        member.storeAddress = store_;
        if (options_.storeProxies) {
            startProxy(member.storeProxy, store_, "storeproxy" + std::to_string(i), member.storeAddress,
                       member.storeProxyControl);
        }
        members_.push_back(std::move(member));
    }
    configure(1);
    for (std::size_t i = 0; i < members_.size(); ++i) {
        startNode(static_cast<int>(i));
        startServer(static_cast<int>(i));
    }
    require(eventually([this] { return allServing(); }, std::chrono::seconds(20)), "not every node serves within 20 s");
}

Mesh::~Mesh()
{
    members_.clear();
    storeProcess_.reset();
    std::error_code ignored;
    if (std::getenv("WAXWING_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(directory_, ignored);
    }
}

std::string Mesh::settingsFile(int index)
{
    const Member &member = members_.at(static_cast<std::size_t>(index));
    json bounds = json::array({"grace_s=" + std::to_string(options_.graceSeconds),
                               "retry_budget_ratio=" + std::to_string(options_.budgetRatio),
                               "budget_slack=" + std::to_string(options_.budgetSlack)});
    for (const std::string &bound : options_.bounds) {
        bounds.push_back(bound);
    }
    json settings = {{"node", "n" + std::to_string(index)},
                     {"zone", "z" + std::to_string(index)},
                     {"region", options_.regions.empty() ? "r" : options_.regions.at(static_cast<std::size_t>(index))},
                     {"listen",
                      {{"callers", member.callers.text()},
                       {"peers", member.links.text()},
                       {"advertisedPeers", member.advertisedLinks.text()},
                       {"operators", member.control.text()},
                       {"readiness", member.readiness.text()}}},
                     {"objectApi", member.storeAddress.text()},
                     {"server",
                      {{"service", options_.services.at(static_cast<std::size_t>(index))},
                       {"address", member.serverEndpoint.text()}}},
                     {"contracts", options_.contracts},
                     {"bounds", bounds}};
    if (!options_.flow.is_null()) {
        settings["flow"] = options_.flow;
    }
    if (options_.memoryMegabytes > 0) {
        settings["limits"] = {{"memoryMegabytes", options_.memoryMegabytes}};
    }
    if (options_.limitedCustomersWait) {
        settings["waiting"] = {{"limitedCustomers", true}};
    }
    if (options_.callAdmission) {
        settings["nestedCalls"] = {{"admission", true}};
    }
    std::string path = directory_ + "/n" + std::to_string(index) + ".json";
    std::ofstream(path) << settings.dump(2);
    return path;
}

void Mesh::startNode(int index)
{
    Member &member = members_.at(static_cast<std::size_t>(index));
    member.node.reset();
    const std::string settings = settingsFile(index);
    const std::string program = nodeProgram(index, options_.upgrade, member.starts);
    member.logs.push_back(directory_ + "/n" + std::to_string(index) + "-" + std::to_string(++member.starts) + ".log");
    member.node =
        std::make_unique<Process>(program, std::vector<std::string>{"--settings", settings}, member.logs.back());
}

void Mesh::startServer(int index)
{
    const auto i = static_cast<std::size_t>(index);
    Member &member = members_.at(i);
    member.server.reset();
    const std::vector<std::string> arguments = {"--service",
                                                options_.services.at(i),
                                                "--id",
                                                "i-" + std::to_string(index),
                                                "--control",
                                                member.control.text(),
                                                "--ledger",
                                                directory_ + "/ledger." + std::to_string(index),
                                                "--slots",
                                                std::to_string(options_.slots),
                                                "--work-ms",
                                                std::to_string(options_.workMs),
                                                "--port",
                                                std::to_string(member.serverAddress.port),
                                                "--announced-port",
                                                std::to_string(member.serverEndpoint.port)};
    member.server = std::make_unique<Process>("tests/standins/standin-sidecarserver", arguments,
                                              directory_ + "/server" + std::to_string(index) + ".log");
    member.server->waitForPrintedNumber("port");
}

Process &Mesh::node(int index)
{
    return *members_.at(static_cast<std::size_t>(index)).node;
}

Process &Mesh::server(int index)
{
    return *members_.at(static_cast<std::size_t>(index)).server;
}

void Mesh::setServerMode(int index, const json &mode)
{
    const HttpRequest request{"POST", "/_mode", {}, mode.dump()};
    require(loopClient()
                .exchange(members_.at(static_cast<std::size_t>(index)).serverAddress, request, requestTimeout)
                .has_value(),
            "cannot set the server mode");
}

void Mesh::setStoreFault(const json &fault)
{
    require(loopClient().exchange(store_, HttpRequest{"POST", "/_fault", {}, fault.dump()}, requestTimeout).has_value(),
            "cannot set the store fault");
}

void Mesh::setLinkFault(int index, const json &fault)
{
    setProxyFault(members_.at(static_cast<std::size_t>(index)).proxyControl, fault);
}

void Mesh::setServerLinkFault(int index, const json &fault)
{
    setProxyFault(members_.at(static_cast<std::size_t>(index)).serverProxyControl, fault);
}

Endpoint Mesh::callersOf(int index) const
{
    return members_.at(static_cast<std::size_t>(index)).callers;
}

std::string Mesh::requestText(const std::string &id, const std::string &path, const std::string &body)
{
    return std::string(body.empty() ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: desk.example\r\n"
           + names::requestId + ": " + id + "\r\n" + names::timeoutMs
           + ": 30000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void Mesh::setStoreLinkFault(int index, const json &fault)
{
    setProxyFault(members_.at(static_cast<std::size_t>(index)).storeProxyControl, fault);
}

void Mesh::setProxyFault(const Endpoint &control, const json &fault)
{
    require(
        loopClient().exchange(control, HttpRequest{"POST", "/_fault", {}, fault.dump()}, requestTimeout).has_value(),
        "cannot set the fault of a proxy");
}

void Mesh::configureCustomers(std::uint64_t version, const json &customers)
{
    options_.customers = customers;
    configure(version);
}

void Mesh::configure(std::uint64_t version, const std::string &service)
{
    const UpdateResult result =
        ObjectApi(loopClient(), store_)
            .update(names::configKind, names::configName, configRevision_, configDocument(version, service).dump());
    require(result.kind == UpdateResult::Kind::Stored, "configuration not stored");
    configRevision_ = result.version;
}

tl::expected<HttpResponse, ExchangeError> Mesh::send(int node, const std::string &id, const std::string &path,
                                                     Millis timeout, const HeaderList &headers)
{
    const bool isBooking = path.compare(0, 7, "/seats/") == 0;
    HttpRequest request{
        isBooking ? "POST" : "GET",
        path,
        {{"Host", "desk.example"}, {names::requestId, id}, {names::timeoutMs, std::to_string(timeout.count())}},
        isBooking ? "seat" : ""};
    request.headers.insert(request.headers.end(), headers.begin(), headers.end());
    return loopClient().exchange(members_.at(static_cast<std::size_t>(node)).callers, request,
                                 timeout + requestTimeout);
}

tl::expected<HttpResponse, ExchangeError> Mesh::sendWithKey(int node, const std::string &id, const std::string &path,
                                                            const std::string &key, Millis timeout)
{
    return send(node, id, path, timeout, {{names::credential, std::string(names::credentialScheme) + " " + key}});
}

std::string Mesh::sendRaw(int node, const std::string &bytes, Millis timeout)
{
    return sendRawInParts(node, bytes, Millis(0), {}, timeout);
}

std::string Mesh::sendRawInParts(int node, const std::string &bytes, Millis pause, const std::string &rest,
                                 Millis timeout)
{
    boost::asio::ip::tcp::socket socket(loopContext());
    const Endpoint &to = members_.at(static_cast<std::size_t>(node)).callers;
    boost::system::error_code error;
    socket.connect({boost::asio::ip::make_address(to.address), to.port}, error);
    std::string out;
    boost::asio::steady_timer timer(loopContext(), timeout);
    timer.async_wait([&socket](boost::system::error_code cancelled) {
        if (!cancelled) {
            socket.cancel();
        }
    });
    IoResult result =
        await([&](auto handle) { boost::asio::async_write(socket, boost::asio::buffer(bytes), std::move(handle)); });
    if (!result.error && !rest.empty()) {
        sleepFor(loopContext(), pause);
        result =
            await([&](auto handle) { boost::asio::async_write(socket, boost::asio::buffer(rest), std::move(handle)); });
    }
    std::array<char, 4096> buffer{};
    while (!result.error) {
        result = await([&](auto handle) { socket.async_read_some(boost::asio::buffer(buffer), std::move(handle)); });
        out.append(buffer.data(), result.bytes);
    }
    timer.cancel();
    return out;
}

bool Mesh::isReady(int node)
{
    const auto response = loopClient().exchange(members_.at(static_cast<std::size_t>(node)).readiness,
                                                HttpRequest{"GET", names::readiness, {}, {}}, requestTimeout);
    return response && response->status == 200;
}

std::vector<Execution> Mesh::ledger() const
{
    std::vector<Execution> out;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        std::ifstream ledger(directory_ + "/ledger." + std::to_string(i));
        std::string line;
        while (std::getline(ledger, line)) {
            const std::size_t space = line.find(' ');
            out.push_back(Execution{line.substr(0, space), Millis(std::stoll(line.substr(space + 1))),
                                    line.substr(line.rfind(' ') + 1)});
        }
    }
    return out;
}

Endpoint Mesh::callers(int node) const
{
    return members_.at(static_cast<std::size_t>(node)).callers;
}

bool Mesh::isRigRunning()
{
    return storeProcess_->running() && std::all_of(members_.begin(), members_.end(), [](const Member &member) {
               return (!member.proxy || member.proxy->running())
                      && (!member.storeProxy || member.storeProxy->running());
           });
}

std::map<std::string, int> Mesh::executions() const
{
    std::map<std::string, int> counts;
    for (const Execution &execution : ledger()) {
        ++counts[execution.id];
    }
    return counts;
}

std::map<std::string, std::string> Mesh::customersSeen() const
{
    std::map<std::string, std::string> customers;
    for (const Execution &execution : ledger()) {
        customers[execution.id] = execution.customer;
    }
    return customers;
}

std::string Mesh::allOutput() const
{
    std::stringstream text;
    for (const auto &file : std::filesystem::directory_iterator(directory_)) {
        const std::string name = file.path().filename().string();
        const bool isSettings = file.path().extension() == ".json";
        if (file.is_regular_file() && !isSettings && name != "store.log") {
            text << std::ifstream(file.path()).rdbuf();
            // Inserting an empty file sets failbit, and the later files would be dropped.
            text.clear();
        }
    }
    return text.str();
}

void Mesh::addRegistryEntry(const std::string &node)
{
    RegistryEntry entry;
    entry.id = node;
    entry.links = freeEndpoint();
    entry.zone = "z0";
    entry.region = "elsewhere";
    entry.service = "desk";
    const UpdateResult result =
        ObjectApi(loopClient(), store_).update(platform::registryKind, node, 0, platform::encodeRegistryEntry(entry));
    require(result.kind == UpdateResult::Kind::Stored, "registry entry not stored");
}

void Mesh::removeRegistryEntry(const std::string &node)
{
    ObjectApi api(loopClient(), store_);
    Expected<std::optional<StoredObject>> entry;
    const auto isThere = [&] {
        entry = api.read(platform::registryKind, node);
        return entry && *entry;
    };
    require(eventually(isThere), "no registry entry to remove");
    const UpdateResult result = api.remove(platform::registryKind, node, (*entry)->version);
    require(result.kind == UpdateResult::Kind::Stored, "registry entry not removed");
}

int Mesh::countLogLines(int node, const std::vector<std::string> &texts) const
{
    std::ifstream text(members_.at(static_cast<std::size_t>(node)).logs.back());
    int count = 0;
    std::string line;
    while (std::getline(text, line)) {
        const bool containsAll = std::all_of(texts.begin(), texts.end(), [&line](const std::string &part) {
            return line.find(part) != std::string::npos;
        });
        count += containsAll ? 1 : 0;
    }
    return count;
}

std::string Mesh::log(int node) const
{
    std::stringstream text;
    for (const std::string &path : members_.at(static_cast<std::size_t>(node)).logs) {
        text << std::ifstream(path).rdbuf();
    }
    return text.str();
}

bool Mesh::allServing()
{
    static int number = 0;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const auto response = send(static_cast<int>(i), "settle-" + std::to_string(++number), "/open/1");
        if (!response || response->status != 200 || !hasAllNodes(static_cast<int>(i))) {
            return false;
        }
    }
    return true;
}

bool Mesh::hasAllNodes(int node) const
{
    const std::string text = log(node);
    const std::string all = "nodes=" + std::to_string(members_.size());
    if (members_.size() == 1 || text.find(all) != std::string::npos) {
        return true;
    }
    // A node whose own entry completes the registry logs no change for it, only that it wrote the entry.
    const std::size_t written = text.find("event=registry_entry_written");
    const std::string others = "nodes=" + std::to_string(members_.size() - 1);
    return written != std::string::npos && text.rfind(others, written) != std::string::npos;
}

} // namespace waxwing::testing
