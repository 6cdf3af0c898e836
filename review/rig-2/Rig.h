/**
 * Rig of the second review's scripts: starts nodes as the deploy file does, and plays the servers, the clients and the
 * rest of the platform with plain blocking sockets and threads. Everything listens on loopback addresses.
 */
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review2 {

using Millis = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

SteadyTime now();
Millis sinceStart();
void sleepUntil(SteadyTime when);
void sleepFor(Millis length);
/** Returns false if the environment asks for a run without the disruption (TROUBLE=0). */
bool hasTrouble();

/** Writes the lines of record.txt, each with the time since the start of the program. Thread safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/** One HTTP message as it was read. */
struct HttpText {
    /** The request line or the status line. */
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const;
    /** Returns the status of a response; 0 if the status line is not one. */
    int status() const;
    /** Returns a word of the request line: 0 is the method, 1 the target. */
    std::string word(int index) const;
};

/** A connected socket. Not thread safe, except shutDown(). */
class Socket
{
public:
    explicit Socket(int descriptor);
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /** Returns null if no connection can be made. */
    static std::unique_ptr<Socket> connectTo(std::uint16_t port);
    bool send(const std::string &bytes);
    /** Reads one message; nothing if the peer closes the connection or @p until passes before it is complete. */
    std::optional<HttpText> read(SteadyTime until);
    /** Returns the next bytes as they come; empty if the peer closes the connection or @p until passes. */
    std::string receive(SteadyTime until);
    /** Returns true if the last read() ended because the peer closed or reset the connection. */
    bool hasEnded() const;
    void shutDown();

private:
    bool fill(SteadyTime until);

    int descriptor_;
    std::string buffer_;
    bool ended_ = false;
};

/** Accepts connections on a loopback port and runs a handler for each of them on a thread of its own. */
class Listener
{
public:
    using Handler = std::function<void(Socket &)>;
    Listener(std::uint16_t port, Handler handler);

private:
    void run(int descriptor) const;

    Handler handler_;
};

std::uint16_t freePort();
/** Ends this program without waiting for the threads of the stand-ins. */
[[noreturn]] void endProgram(int result);

/** A request as a client sends it. */
struct ClientRequest {
    std::string method = "GET";
    std::string path;
    std::string id;
    /** The client's deadline. */
    Millis timeout{3000};
    std::string body;

    std::string text() const;
};

/** Returns an id that no other request of the run has. */
std::string newRequestId();
/** Sends a request that has no client behind it. Returns the status; 0 without an answer. */
int exchange(std::uint16_t port, const std::string &method, const std::string &target, const std::string &body,
             Millis timeout, std::string *responseBody = nullptr);

/** A child process. Ends with this program at the latest. */
class Process
{
public:
    ~Process();
    void start(const std::vector<std::string> &words, const std::string &output);
    void signal(int number) const;
    /** Waits until the process has ended. */
    void wait();
    /** Sends SIGKILL and waits. */
    void kill();
    bool isRunning();
    pid_t id() const;

private:
    pid_t pid_ = -1;
};

/** Ports of one machine: of its node and of the server beside it. */
struct Machine {
    std::string service;
    std::uint16_t outbound = 0;
    std::uint16_t control = 0;
    std::uint16_t ready = 0;
    std::uint16_t internal = 0;
    std::uint16_t metrics = 0;
    std::uint16_t app = 0;
    /** Where the node reaches the platform's store. */
    std::uint16_t store = 0;
    std::unique_ptr<Process> node;
    /** The platform's readiness checks let clients use the machine: no two of them in a row have failed. */
    std::shared_ptr<std::atomic<bool>> isIn = std::make_shared<std::atomic<bool>>(true);
};

/**
 * Stands between one node and the store: passes its calls on, or turns them away with 503 as a store that serves the
 * other machines. Thread safe.
 */
class StoreGate
{
public:
    StoreGate(std::uint16_t port, std::uint16_t store);
    /** Turns calls away from now on, those that wait for an answer too; or passes them on again. */
    void refuse(bool refuses);

private:
    void handle(Socket &client);
    static void pump(Socket &from, Socket &to);

    const std::uint16_t store_;
    std::mutex mutex_;
    std::vector<Socket *> open_;
    bool refuses_ = false;
    Listener listener_;
};

/** One route of the configuration; each has the host of Fleet::host. */
struct RouteSpec {
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 2000;
};

/** The store and the nodes of a small deployment. */
class Fleet
{
public:
    static constexpr const char *host = "desk.example";

    Fleet(const std::vector<std::string> &services, const std::vector<RouteSpec> &routes);
    /** Ends all processes and removes the temporary folder. */
    void stop();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** @pre the settings of a machine may be changed before its node starts. */
    Machine &machine(std::size_t index);
    std::size_t size() const;
    std::uint16_t storePort() const;
    /** A folder that is removed by stop(). */
    const std::string &directory() const;
    void startNode(std::size_t index, bool firstStart = true);
    /** Waits until every node serves a request of every idempotent route. Then the readiness checks begin. */
    bool awaitServing(Millis timeout);
    /** Returns false while the platform keeps clients away from a machine. Thread safe. */
    bool takesClients(std::size_t index) const;

private:
    std::string settingsOf(std::size_t index, bool firstStart) const;
    bool writeConfig(const std::vector<RouteSpec> &routes) const;
    static void checkReadiness(std::uint16_t port, const std::shared_ptr<std::atomic<bool>> &isIn);

    std::string directory_;
    std::uint16_t storePort_ = 0;
    Process store_;
    std::vector<Machine> machines_;
    std::vector<RouteSpec> routes_;
};

/** A request that a server began to work on. */
struct Run {
    std::string id;
    std::string path;
    SteadyTime at;
};

/**
 * The application server beside a node: heartbeats, slots, and answers with a seal. Its threads run until the program
 * ends, so it is never destroyed. Thread safe.
 */
class Server
{
public:
    /** Answers a request in place of the server. Returns false to leave it to the server. */
    using Answer = std::function<bool(const HttpText &request, Socket &socket)>;

    Server(const Machine &machine, std::string name, Millis work, Millis heartbeatInterval);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void setAnswer(Answer answer);
    void stopHeartbeats();
    /** Returns the body of the next heartbeat of a server that serves. */
    std::string nextHeartbeat();
    /** Sends a heartbeat. Returns the status of the answer. */
    int sendHeartbeat(const std::string &body) const;
    int deregister() const;
    std::vector<Run> runs();

private:
    void handle(Socket &socket);
    void beat();
    bool answer(const HttpText &request, Socket &socket);
    int call(const std::string &what, const std::string &body) const;

    const std::uint16_t control_;
    const std::uint16_t app_;
    const std::string service_;
    const std::string id_;
    const Millis work_;
    const Millis heartbeatInterval_;
    const std::int64_t born_;
    std::mutex mutex_;
    std::uint64_t sequence_ = 0;
    int running_ = 0;
    std::vector<Run> runs_;
    Answer answer_;
    std::atomic<bool> stopped_{false};
    Listener listener_;
};

/**
 * Clients that send one request after the other on connections that they keep, and open a new one where the node has
 * closed it. They end with the program, so the object is never destroyed. Thread safe.
 */
class KeptClients
{
public:
    KeptClients(Fleet &fleet, Record &record);
    /** Starts one more client of a machine. */
    void add(std::size_t machine, const std::string &path);
    /** Waits until all clients have ended. */
    void stop();
    int answered() const;
    /** Returns how many requests a server began to run whose kept connection was closed without an answer. */
    std::size_t lost(const std::vector<Server *> &servers) const;

private:
    void run(std::size_t machine, const std::string &path);

    Fleet &fleet_;
    Record &record_;
    mutable std::mutex mutex_;
    std::vector<std::string> closed_;
    int answered_ = 0;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopped_{false};
};

} // namespace review2
