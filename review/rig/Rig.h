#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/**
 * Parts of the review cases: a small deployment of real processes on loopback addresses, with stand-ins for its
 * clients, its servers and the platform. Everything runs on the real clock.
 */
namespace review {

using SteadyTime = std::chrono::steady_clock::time_point;
using Millis = std::chrono::milliseconds;

/** Exit codes of a case. */
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/** Ends the case with couldNotRun. */
struct CannotRun {
    std::string reason;
};

void pause(Millis time);
/** Waits until @p done returns true; returns false after @p limit. */
bool eventually(const std::function<bool()> &done, Millis limit);

/** What was sent, answered and run, with the time since the start. Thread safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    void add(const std::string &line);

private:
    std::mutex mutex_;
    std::ofstream file_;
    SteadyTime start_ = std::chrono::steady_clock::now();
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/** A request or a response as it was read from a socket. */
struct Message {
    /** Empty if no whole message was read. */
    std::string startLine;
    Headers headers;
    std::string body;

    bool isComplete() const;
    std::string header(const std::string &name) const;
    /** Status of a response; 0 if there is none. */
    int status() const;
    std::string method() const;
    std::string target() const;
};

/** A TCP connection with blocking calls. Not thread safe, except for shutDown(). */
class Connection
{
public:
    /** Takes over a connected socket. */
    explicit Connection(int fd);
    /** Connects; isOpen() tells the result. */
    Connection(const std::string &ip, std::uint16_t port);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool isOpen() const;
    bool send(const std::string &bytes);
    /**
     * Reads the next message. @p answersHead: it is the response to a HEAD request, which has no body. Returns an
     * incomplete message if the connection ends, the bytes are no message, or @p limit has passed.
     */
    Message read(Millis limit, bool answersHead = false);
    /** Bytes that were received and are no part of a message that was read. */
    const std::string &rest() const;
    void shutDown();

private:
    bool fill(SteadyTime until);

    int fd_ = -1;
    std::string input_;
};

std::string requestText(const std::string &method, const std::string &target, const Headers &headers,
                        const std::string &body = {});
std::string responseText(int status, const Headers &headers, const std::string &body);

/** A child process. It is killed when the object goes. */
class Child
{
public:
    Child(const std::vector<std::string> &arguments, const std::string &logFile);
    ~Child();
    Child(const Child &) = delete;
    Child &operator=(const Child &) = delete;

    bool isRunning();
    void signal(int number);
    /** Sends @p number and waits for the end, at most @p limit; then kills. Returns the status of waitpid(). */
    int end(int number, Millis limit);

private:
    pid_t pid_ = -1;
    bool ended_ = false;
    int status_ = 0;
};

/** Addresses of one machine. The ports are the same on all machines. */
struct Machine {
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;

    static constexpr std::uint16_t inboundPort = 18146;
    static constexpr std::uint16_t outboundPort = 18147;
    static constexpr std::uint16_t readyPort = 18141;
    static constexpr std::uint16_t controlPort = 18144;
    static constexpr std::uint16_t serverPort = 18145;
    static constexpr std::uint16_t firstInternalPort = 17380;
};

/** One request as a server stand-in sees it, and the means to answer it. */
struct ServerCall {
    Message request;
    std::string id;
    Connection &connection;
    /** Which connection of the server it came on, and how many requests came on it before. */
    int connectionNumber = 0;
    int earlierOnConnection = 0;
};

/**
 * Stand-in for an application server: sends heartbeats to the node beside it and answers requests by a handler, one at
 * a time on a connection.
 */
class Server
{
public:
    /** Answers a call. Returns false to close the connection. */
    using Handler = std::function<bool(Server &server, ServerCall &call)>;

    Server(Record &record, Machine machine, std::string id, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** Begins to send heartbeats, the first one now. */
    void startHeartbeats();
    /** Sends no more heartbeats. */
    void stopHeartbeats();
    /** Closes the listener and all connections at once, as a process that crashes. The server never serves again. */
    void crash();
    /** Text of the next heartbeat with @p state. */
    std::string nextHeartbeat(const std::string &state);
    std::string deregistration() const;
    /** Sends a call to the control address of this machine. Returns the status of the answer, 0 if there is none. */
    int callControl(const std::string &text);
    /** A signed success for @p call. */
    std::string success(const ServerCall &call, const std::string &body) const;
    /** The answer of a server that is full and does not run @p call. */
    static std::string shed(const ServerCall &call);
    const Machine &machine() const;
    const std::string &id() const;

private:
    void acceptLoop();
    void serve(int fd, int number);
    void closeListener();
    void closeConnections();

    Record &record_;
    Machine machine_;
    std::string id_;
    Handler handler_;
    std::int64_t born_;
    std::atomic<std::uint64_t> sequence_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> beating_{false};
    std::atomic<int> listener_{-1};
    std::mutex mutex_;
    std::vector<std::weak_ptr<Connection>> connections_;
    std::vector<std::thread> threads_;
    std::thread acceptThread_;
    std::thread beatThread_;
};

/** One route of the configuration. */
struct RouteText {
    std::string name;
    std::string kind;
    std::string prefix;
    std::string service;
    int aimMs = 1000;
    int timeoutMs = 2000;
    int attempts = 2;
};

/** The store, the configuration and the nodes. */
class Deployment
{
public:
    /** @p machines: service of each machine. */
    Deployment(Record &record, const std::vector<std::string> &services);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    const Machine &machine(std::size_t index) const;
    /** Writes the next version of the configuration to the store. */
    void configure(const std::vector<RouteText> &routes);
    void startNode(std::size_t index);
    Child &node(std::size_t index);
    /** Waits until the platform's readiness check of the node succeeds. */
    void awaitReady(std::size_t index);
    /** Returns the end of the node's log. */
    std::string logOf(std::size_t index) const;

    /** Host of all routes. */
    static constexpr const char *host = "ficu95.example";

private:
    void writeSettings(std::size_t index) const;

    Record &record_;
    std::string directory_;
    std::vector<Machine> machines_;
    std::vector<std::unique_ptr<Child>> nodes_;
    std::unique_ptr<Child> store_;
    std::uint16_t storePort_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t configRevision_ = 0;
};

/** Request of a client to @ref Deployment::host. */
std::string clientRequest(const std::string &method, const std::string &target, const std::string &id, Millis deadline,
                          const std::string &body = {});

/** Runs a case and returns its exit code. @p body is told whether the disruption happens. */
int runCase(int argc, char **argv, const std::function<int(Record &record, bool trouble)> &body);

} // namespace review
