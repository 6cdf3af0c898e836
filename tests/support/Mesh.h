#pragma once

#include "tests/support/Fleet.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwing::testing {

/** What a test of the platform's path wants running: nodes with one backend server each, all of one region. */
struct MeshOptions {
    /** The service of each node's server. */
    std::vector<std::string> services = {"desk", "desk", "desk"};
    /** Nodes' links are reached through a fault proxy each. */
    bool proxies = false;
    int workMs = 20;
    /** The routes' timeout, and the time from SIGTERM to the end. */
    int timeoutMs = 3000;
    int graceSeconds = 5;
    /** Second sends that the fleet may make beyond its share of the requests. */
    int budgetSlack = 60;
    /** Routes that no test asks for, to make the configuration large. */
    int spareRoutes = 0;
    /** Nodes begin with the other build; see nodeProgram(). */
    bool upgrade = false;
};

/** Real processes on loopback in the platform's shape: store stand-in, and beside each node its one server. */
class Mesh
{
public:
    explicit Mesh(MeshOptions options = {});
    ~Mesh();
    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    void startNode(int index);
    void startServer(int index);
    Process &node(int index);
    Process &server(int index);
    void setServerMode(int index, const nlohmann::json &mode);
    void setStoreFault(const nlohmann::json &fault);
    /** Faults on the way of other nodes to this one's links. @pre MeshOptions::proxies. */
    void setLinkFault(int index, const nlohmann::json &fault);
    /** Writes the configuration; @p service takes the bookings and @p version orders it. */
    void configure(std::uint64_t version, const std::string &service = "desk");

    /** Sends a request to a node's callers' port: "/dates/" is idempotent, "/seats/" is not. */
    tl::expected<HttpResponse, ExchangeError> send(int node, const std::string &id, const std::string &path,
                                                   Millis timeout = std::chrono::seconds(3));
    /** Sends bytes as they are and returns all that comes back until the node closes or falls silent. */
    std::string sendRaw(int node, const std::string &bytes, Millis allowed = std::chrono::milliseconds(1500));
    /** True if the node says that it takes callers. */
    bool isReady(int node);
    /** How often each request id was executed. */
    std::map<std::string, int> executions() const;
    /** Writes an entry of a node that does not run into the roster. */
    void addRegistryEntry(const std::string &node);
    /** Removes a node's entry from the roster; a node that runs writes it again. */
    void removeRegistryEntry(const std::string &node);
    /** How many lines of the node's log since its last start contain every one of @p words. */
    int countLogLines(int node, const std::vector<std::string> &words) const;
    /** A node's log. */
    std::string log(int node) const;
    /** Sends idempotent requests until every node has been served by another one's server. */
    bool allServing();

private:
    struct Member {
        Endpoint callers;
        Endpoint links;
        Endpoint control;
        Endpoint readiness;
        Endpoint app;
        Endpoint proxied;
        Endpoint proxyControl;
        std::unique_ptr<Process> proxy;
        std::unique_ptr<Process> node;
        std::unique_ptr<Process> server;
        std::vector<std::string> logs;
        int starts = 0;
    };

    std::string settingsFile(int index);
    /** By its log: the node's roster has held every member. */
    bool hasAllNodes(int node) const;

    MeshOptions options_;
    std::string directory_;
    Endpoint store_;
    std::unique_ptr<Process> storeProcess_;
    std::vector<Member> members_;
    std::uint64_t configRevision_ = 0;
};

} // namespace waxwing::testing
