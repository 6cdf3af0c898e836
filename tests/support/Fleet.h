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
/** Polls until @p done returns true or @p within has passed. Returns false if the time ran out. */
bool eventually(const std::function<bool()> &done, Millis within = std::chrono::seconds(10));
/** Runs each task in a fiber of its own and returns when all have finished. */
void runConcurrently(const std::vector<std::function<void()>> &tasks);

/** Returns the event loop of the test thread. @pre setUpLoop() was called. */
boost::asio::io_context &loopContext();
/** Returns the HTTP client of the test thread. @pre setUpLoop() was called. */
HttpClient &loopClient();
/** Returns a loopback address on which nothing listens. */
Endpoint freeEndpoint();

/** A child process of a test; killed when it goes out of scope. */
class Process
{
public:
    /** Starts @p program, an absolute path or one relative to the build directory, with its output in @p log. */
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &log);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    void signal(int number);
    void kill();
    /** Waits for the process to exit. Returns its exit code, or -1 if it was still running after @p within. */
    int waitForExit(Millis within = std::chrono::seconds(25));
    bool running();
    /** Returns a memory figure of the process in kilobytes by its name in /proc, such as "VmHWM"; 0 if it has ended. */
    std::size_t memoryKilobytes(const std::string &name) const;
    /** Waits until the process has printed "name=number" and returns the number. */
    std::uint16_t waitForPrintedNumber(const std::string &name);
    std::string output() const;

private:
    std::string log_;
    boost::process::child child_;
};

/** Returns @p program of the build that WAXWING_OTHER_BUILD names, or of this build if it is not set. */
std::string otherProgram(const std::string &program);

/**
 * Returns the program of a node: from this build, or from the build directory that WAXWING_OTHER_BUILD names. If that
 * variable is set, every second node runs the other build. With @p upgrade, the first process of each node runs the
 * other build, and its later processes run this build.
 */
std::string nodeProgram(int node, bool upgrade, int earlierStarts);

/** Capacity that tests reserve for the tasks passed to runConcurrently(). */
constexpr std::size_t maxTasks = 128;

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
