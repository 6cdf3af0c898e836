#pragma once

#include "include/base/HttpMessage.h"
#include "include/settings/NodeSettings.h"
#include "src/http/HttpClient.h"

#include <boost/process.hpp>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace waxwing::testing {

/** Installs the fiber scheduler of the test thread. Call once. */
void setUpLoop();
void pause(Millis length);
/** Polls until @p done or @p within has passed; returns whether it was done. */
bool eventually(const std::function<bool()> &done, Millis within = std::chrono::seconds(10));
/** Runs the bodies as fibers and returns when all have ended. */
void runConcurrently(const std::vector<std::function<void()>> &bodies);

/** The test thread's loop and client. @pre setUpLoop() was called. */
boost::asio::io_context &loopContext();
HttpClient &loopClient();
/** An address on loopback that nothing listens on. */
Endpoint freeEndpoint();

/** One process of a test; killed when it goes out of scope. */
class Process
{
public:
    /** Starts @p program of the build with its output in @p log. */
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &log);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    void signal(int number);
    void kill();
    /** Waits for the end; the exit code, or -1 if it did not end in time. */
    int waitForExit(Millis within = std::chrono::seconds(25));
    bool running();
    /** The number printed as "name=number", waited for. */
    std::uint16_t waitForPrintedNumber(const std::string &name);
    std::string output() const;

private:
    std::string log_;
    boost::process::child child_;
};

/**
 * The program that a node's process runs: of this build, or of another one that WAXWING_OTHER_BUILD names by its build
 * directory. With that variable every second node is of the other build; in an upgrade each node's first process is,
 * and later ones are of this build.
 */
std::string nodeProgram(int node, bool upgrade, int earlierStarts);

/** Room for the bodies that a test hands to runConcurrently(). */
constexpr std::size_t maxTasks = 128;

struct CallResult {
    unsigned status = 0;
    std::string outcome;
    std::string reason;
    std::string body;
    HeaderList headers;
};

/** What a test wants running. */
struct FleetOptions {
    int nodes = 3;
    int serversPerNode = 2;
    std::string floor = "3 servers";
    std::string ejection = "fast";
    int workMs = 5;
    int slots = 3;
    std::string ramp = "200ms";
    /** Nodes' peer ports are reached through a fault proxy each. */
    bool proxies = false;
    /** Servers are dealt to these in turn; requests go to the first unless they say otherwise. */
    std::vector<std::string> services = {"course-desk"};
    int regions = 1;
    /** Server s0 is reached through a fault proxy. */
    bool proxyServer = false;
    /** Nodes begin with the other build; see nodeProgram(). */
    bool upgrade = false;
};

/** A fleet of real processes on loopback: object API stand-in, nodes, backend servers and, if wanted, proxies. */
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
    /** Sets how real work of a server fails, as in {"mode":"stall"}. */
    void setServerMode(const std::string &name, const nlohmann::json &mode);
    void setApiFault(const nlohmann::json &fault);
    /** Sets faults on the way to server s0. @pre Plan::proxyServer. */
    void setServerFault(const nlohmann::json &fault);
    /** Sets faults on the way to a node's peer port. @pre Plan::proxies. */
    void setProxyFault(int node, const nlohmann::json &fault);
    nlohmann::json view(int node, const std::string &target);
    nlohmann::json apiStats();
    /** Writes an object past the command line's checks. */
    bool writeObject(const std::string &kind, const std::string &name, std::uint64_t version,
                     const nlohmann::json &value);

    CallResult send(int node, const HttpRequest &request, Millis allowed = std::chrono::seconds(8));
    CallResult read(int node, const std::string &id);
    CallResult book(int node, const std::string &id, const std::string &key, const std::string &body = "seat");
    std::string ticket(int node);
    /** waxwingctl with these words; its exit code, with the output in @p output. */
    int ctl(const std::vector<std::string> &words, std::string *output = nullptr, int node = 0);
    /** Writes intents for the plan's service and waits until they are in force. */
    void applyIntents();
    std::string intentsFile(const std::string &responseTime = "300ms");
    /** Executions in the servers' ledgers by X-Request-Id. */
    std::map<std::string, int> executions() const;
    /** Servers in service, over all nodes that answer. */
    int inService();
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
