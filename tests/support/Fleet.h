#pragma once

#include "include/base/HttpMessage.h"
#include "include/settings/NodeSettings.h"
#include "src/http/HttpClient.h"
#include "tests/support/Process.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace waxwing::testing {

/** Result of a request as its caller sees it; the status is 0 if no response arrived. */
struct CallResult {
    unsigned status = 0;
    std::string outcome;
    std::string reason;
    std::string body;
    HeaderList headers;
};

/** Size and settings of the fleet that a test runs. */
struct FleetOptions {
    int nodes = 3;
    int serversPerNode = 2;
    std::string floor = "3 servers";
    std::string ejection = "fast";
    int workMs = 5;
    int slots = 3;
    std::string ramp = "200ms";
    /** Each node's peer port is reached through a fault proxy. */
    bool proxies = false;
    /** Servers are assigned to these services in turn; requests are for the first unless they name another. */
    std::vector<std::string> services = {"course-desk"};
    int regions = 1;
    /** Server s0 is reached through a fault proxy. */
    bool proxyServer = false;
    /** The first process of each node runs the other build, and so does waxwingctl until a node is replaced. */
    bool upgrade = false;
};

/**
 * A fleet of real processes on loopback: object API stand-in, nodes, backend servers and optional fault proxies.
 */
class Fleet
{
public:
    explicit Fleet(FleetOptions options = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void startNode(int index);
    void startServer(const std::string &name, int home, const std::string &service = "course-desk");
    Process &node(int index);
    Process &server(const std::string &name);
    std::vector<std::string> serverNames() const;
    /** Sets how a server fails real work, as in {"mode":"stall"}. */
    void setServerMode(const std::string &name, const nlohmann::json &mode);
    void setApiFault(const nlohmann::json &fault);
    /** Sets the faults of the proxy before server s0. @pre FleetOptions::proxyServer. */
    void setServerFault(const nlohmann::json &fault);
    /** Sets the faults of the proxy before a node's peer port. @pre FleetOptions::proxies. */
    void setProxyFault(int node, const nlohmann::json &fault);
    nlohmann::json view(int node, const std::string &target);
    nlohmann::json apiStats();
    /** Writes an object directly, without the validation of waxwingctl. Returns true if it was stored. */
    bool writeObject(const std::string &kind, const std::string &name, std::uint64_t version,
                     const nlohmann::json &value);

    CallResult send(int node, const HttpRequest &request, Millis timeout = std::chrono::seconds(8));
    CallResult read(int node, const std::string &id);
    CallResult book(int node, const std::string &id, const std::string &key, const std::string &body = "seat");
    std::string ticket(int node);
    /** Runs waxwingctl against the object API and @p node. Returns its exit code and stores its output in @p output. */
    int ctl(const std::vector<std::string> &arguments, std::string *output = nullptr, int node = 0);
    /** Writes intents for all services and waits until they are in force. */
    void applyIntents();
    std::string intentsFile(const std::string &responseTime = "300ms");
    /** Returns the number of executions of each X-Request-Id, from the servers' ledgers. */
    std::map<std::string, int> executions() const;
    /** Returns the number of servers in service over all nodes that respond. */
    int inService();
    /** Returns true if every node lists all servers of every node. */
    bool converged();

    Endpoint callers(int node) const;
    Endpoint operators(int node) const;
    Endpoint peers(int node) const;
    Endpoint api() const;
    std::string directory() const;
    const FleetOptions &options() const;

private:
    std::string settingsFile(int node);

    FleetOptions options_;
    std::string directory_;
    std::vector<Endpoint> callers_;
    std::vector<Endpoint> operators_;
    std::vector<Endpoint> peers_;
    Endpoint api_;
    std::unique_ptr<Process> apiProcess_;
    std::map<int, std::unique_ptr<Process>> nodes_;
    std::map<int, int> starts_;
    std::map<std::string, std::unique_ptr<Process>> servers_;
    std::vector<std::unique_ptr<Process>> proxies_;
    std::vector<Endpoint> proxyEndpoints_;
    std::vector<Endpoint> proxyControls_;
    std::unique_ptr<Process> serverProxy_;
    Endpoint serverProxyControl_;
};

} // namespace waxwing::testing
