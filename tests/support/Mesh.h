#pragma once

#include "tests/support/Fleet.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwing::testing {

/** Configuration of a Mesh: nodes with one backend server each. */
struct MeshOptions {
    /** The service of each node's server. */
    std::vector<std::string> services = {"desk", "desk", "desk"};
    /** The region of each node; empty: all nodes are in one. */
    std::vector<std::string> regions;
    /** Each node's links are reached through a fault proxy. */
    bool proxies = false;
    int workMs = 20;
    /** Slots of each server. */
    int slots = 3;
    /** Response time objective of the routes. */
    int objectiveMs = 1000;
    /** Adds an idempotent route "/urgent/" whose priority is above that of the others. */
    bool urgentRoute = false;
    /** Timeout of the routes. */
    int timeoutMs = 3000;
    /** Longest time from SIGTERM to the node's exit. */
    int graceSeconds = 5;
    /** Retry budget of the whole fleet: retries per request, and additional retries per window. */
    double budgetRatio = 0.2;
    int budgetSlack = 60;
    /** Unused routes that make the configuration large. */
    int spareRoutes = 0;
    /** Further bounds of the platform, each "name=value". */
    std::vector<std::string> bounds;
    /** Customers of the configuration, in the platform's form; null: requests need no key. */
    nlohmann::json customers;
    /** Adds a route for large responses, "/files/". */
    bool downloads = false;
    /** Each node reaches the store through a fault proxy of its own. */
    bool storeProxies = false;
    /** Each node reaches its server through a fault proxy. */
    bool serverProxies = false;
    /** Parts of the platform's contract in force. */
    std::vector<std::string> contracts;
    /** Settings for slow readers; null: defaults. */
    nlohmann::json flow;
    /** Requests that count against a quota may wait for slots. */
    bool limitedCustomersWait = false;
    /** Nodes judge requests by whether their nested calls are expected to fail. */
    bool callAdmission = false;
    std::uint64_t maxBodyBytes = 100000;
    /** Memory of each node; 0: the default of the settings. */
    int memoryMegabytes = 0;
    /** The first process of each node runs the build that WAXWING_OTHER_BUILD names. */
    bool upgrade = false;
};

/** One request that a server ran, as its ledger tells. */
struct Execution {
    std::string id;
    /** Time since the epoch of the system clock. */
    Millis at{0};
    /** The customer that the server was told; "!" if it saw a credential. */
    std::string customer;
};

/** Real processes on loopback in the platform's layout: a store stand-in, and nodes with one server each. */
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
    /** Sets a fault of the proxy between one node and its server. @pre MeshOptions::serverProxies. */
    void setServerLinkFault(int index, const nlohmann::json &fault);
    /** Returns the endpoint at which a node accepts callers. */
    Endpoint callersOf(int index) const;
    /** Returns the text of a request to a node's callers' port. */
    static std::string requestText(const std::string &id, const std::string &path, const std::string &body = "");
    void setStoreFault(const nlohmann::json &fault);
    /** Sets a fault of the proxy between the other nodes and this node's links. @pre MeshOptions::proxies. */
    void setLinkFault(int index, const nlohmann::json &fault);
    /** Sets a fault of the proxy between one node and the store. @pre MeshOptions::storeProxies. */
    void setStoreLinkFault(int index, const nlohmann::json &fault);
    /** Replaces the customers of the configuration and writes it with revision @p version. */
    void configureCustomers(std::uint64_t version, const nlohmann::json &customers);
    /** Writes the configuration with revision @p version. @p service handles the bookings. */
    void configure(std::uint64_t version, const std::string &service = "desk");

    /** Sends a request to a node's callers' port: "/dates/" is idempotent, "/seats/" is not. */
    tl::expected<HttpResponse, ExchangeError> send(int node, const std::string &id, const std::string &path,
                                                   Millis timeout = std::chrono::seconds(3),
                                                   const HeaderList &headers = {});
    /** The same with the credential of a customer's key. */
    tl::expected<HttpResponse, ExchangeError> sendWithKey(int node, const std::string &id, const std::string &path,
                                                          const std::string &key,
                                                          Millis timeout = std::chrono::seconds(3));
    /**
     * Sends @p bytes unchanged to a node's callers' port. Returns all bytes received until the connection closes or
     * @p timeout has passed.
     */
    std::string sendRaw(int node, const std::string &bytes, Millis timeout = std::chrono::milliseconds(1500));
    /** The same, with @p rest sent @p pause after @p bytes. */
    std::string sendRawInParts(int node, const std::string &bytes, Millis pause, const std::string &rest,
                               Millis timeout);
    /** Returns true if the node's readiness check succeeds. */
    bool isReady(int node);
    /** Returns how often each request id was executed. */
    std::map<std::string, int> executions() const;
    /** Returns what the servers' ledgers hold, server by server in the order of execution. */
    std::vector<Execution> ledger() const;
    /** Returns the address of a node's callers' port. */
    Endpoint callers(int node) const;
    /** Returns false if the store stand-in or a fault proxy has ended. */
    bool isRigRunning();
    /** Returns the customer that the server of each executed request was told; "!" if it saw a credential. */
    std::map<std::string, std::string> customersSeen() const;
    /** Returns all that the nodes and servers have written to their logs and ledgers. */
    std::string allOutput() const;
    /** Writes an entry for a node that does not run to the registry. */
    void addRegistryEntry(const std::string &node);
    /** Removes a node's entry from the registry; a running node writes it again. */
    void removeRegistryEntry(const std::string &node);
    /** Returns how many lines of the node's log since its last start contain all of @p texts. */
    int countLogLines(int node, const std::vector<std::string> &texts) const;
    /** Returns the node's log over all its starts. */
    std::string log(int node) const;
    /** Returns true if each node serves an idempotent request and has the full registry. */
    bool allServing();

private:
    struct Member {
        Endpoint callers;
        Endpoint links;
        Endpoint control;
        Endpoint readiness;
        Endpoint serverAddress;
        Endpoint advertisedLinks;
        Endpoint proxyControl;
        Endpoint storeAddress;
        Endpoint storeProxyControl;
        /** Where the node reaches its server. */
        Endpoint serverEndpoint;
        Endpoint serverProxyControl;
        std::unique_ptr<Process> serverProxy;
        std::unique_ptr<Process> storeProxy;
        std::unique_ptr<Process> proxy;
        std::unique_ptr<Process> node;
        std::unique_ptr<Process> server;
        std::vector<std::string> logs;
        int starts = 0;
    };

    std::string settingsFile(int index);
    nlohmann::json configDocument(std::uint64_t version, const std::string &service) const;
    void startProxy(std::unique_ptr<Process> &proxy, const Endpoint &target, const std::string &name, Endpoint &address,
                    Endpoint &control) const;
    static void setProxyFault(const Endpoint &control, const nlohmann::json &fault);
    /** Returns true if the node's log shows that its registry has held every member. */
    bool hasAllNodes(int node) const;

    MeshOptions options_;
    std::string directory_;
    Endpoint store_;
    std::unique_ptr<Process> storeProcess_;
    std::vector<Member> members_;
    std::uint64_t configRevision_ = 0;
};

} // namespace waxwing::testing
