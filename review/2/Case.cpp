#include "review/rig/Rig.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <set>

/**
 * Clients at one machine upload documents within the limits of the configuration, while other clients there read
 * records. With the disruption one server turns slow. The platform kills a process that exceeds its memory.
 */
namespace {

using namespace review;

constexpr Millis faultTime{6500};
constexpr int slowFactor = 5;
constexpr Millis bookingWork{260};
constexpr Millis recordsWork{480};
constexpr Millis uploadGap{600};
/** The configuration allows 64 MiB (max_body_bytes). */
constexpr std::size_t uploadBytes = 24UL * 1024 * 1024;
/** memory_mb of the machine, read as MiB. */
constexpr double memoryLimitMb = 260.0 * 1024 * 1024 / 1e6;
constexpr Millis bookingDeadline{4000};
constexpr Millis recordsDeadline{6000};
constexpr int readers = 8;
/** Connections that may be closed so. */
constexpr int allowedLosses = 3;

/** Ids of the requests that a sound server has begun to run. Thread safe. */
class Begun
{
public:
    void add(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ids_.insert(id);
    }
    bool has(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return ids_.count(id) > 0;
    }

private:
    std::mutex mutex_;
    std::set<std::string> ids_;
};

/** Enforces the memory limit of the first machine's node, as the platform does. */
class MemoryWatch
{
public:
    MemoryWatch(Record &record, Deployment &deployment)
        : thread_([this, &record, &deployment] { run(record, deployment); })
    { }
    ~MemoryWatch()
    {
        stop();
    }
    MemoryWatch(const MemoryWatch &) = delete;
    MemoryWatch &operator=(const MemoryWatch &) = delete;
    void stop()
    {
        stopping_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
    }
    double peakMb() const
    {
        return peakMb_;
    }
    bool hasKilled() const
    {
        return hasKilled_;
    }

private:
    void run(Record &record, Deployment &deployment)
    {
        while (!stopping_) {
            const double memory = deployment.node(0).memoryMb();
            peakMb_ = std::max(peakMb_.load(), memory);
            if (memory > memoryLimitMb) {
                deployment.node(0).end(SIGKILL, Millis(2000));
                record.add("platform: killed the node of " + deployment.machine(0).name + ", which holds "
                           + std::to_string(static_cast<int>(memory)) + " MB");
                hasKilled_ = true;
                return;
            }
            pause(Millis(2));
        }
    }

    std::atomic<bool> stopping_{false};
    std::atomic<bool> hasKilled_{false};
    std::atomic<double> peakMb_{0.0};
    std::thread thread_;
};

/** Clients that read records without pause, each on a connection that it keeps open. */
class Readers
{
public:
    Readers(Record &record, const Deployment &deployment, Begun &begun)
        : record_(record)
        , begun_(begun)
    {
        for (int i = 0; i < readers; ++i) {
            threads_.emplace_back([this, ip = deployment.machine(0).ip, i] { run(ip, i); });
        }
    }
    ~Readers()
    {
        stop();
    }
    Readers(const Readers &) = delete;
    Readers &operator=(const Readers &) = delete;

    void stop()
    {
        stopping_ = true;
        for (std::thread &thread : threads_) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }
    int served() const
    {
        return served_;
    }
    int lost() const
    {
        return lost_;
    }

private:
    void run(const std::string &ip, int client)
    {
        Connection connection(ip, Machine::outboundPort);
        for (int i = 0; !stopping_; ++i) {
            const std::string id = "record-" + std::to_string(client) + "-" + std::to_string(i);
            if (!connection.send(clientRequest("GET", "/sova221/2f", id, recordsDeadline))) {
                return;
            }
            const Message answer = connection.read(recordsDeadline + Millis(1000));
            served_ += answer.status() == 200 ? 1 : 0;
            if (!answer.isComplete()) {
                const bool counts = i > 0 && begun_.has(id);
                lost_ += counts ? 1 : 0;
                record_.add("client: the connection is closed with no answer to " + id
                            + (counts ? ", at which a sound server works" : ", which no server has begun"));
                return;
            }
        }
    }

    Record &record_;
    Begun &begun_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> served_{0};
    std::atomic<int> lost_{0};
    std::vector<std::thread> threads_;
};

int run(Record &record, bool trouble)
{
    Deployment deployment(record, {"course-desk", "course-desk", "records-desk", "records-desk"});
    RouteText booking;
    booking.name = "r-booking";
    booking.kind = "unsafe";
    booking.prefix = "/pufi791/";
    booking.service = "course-desk";
    RouteText history;
    history.name = "r-history";
    history.kind = "safe";
    history.prefix = "/sova221/";
    history.service = "records-desk";
    history.aimMs = 1500;
    history.timeoutMs = 3000;
    deployment.configure({booking, history});
    std::atomic<int> factor{1};
    Begun begun;
    const Server::Handler book = [&](Server &server, ServerCall &call) {
        pause(bookingWork * (server.id() == "i-0" ? factor.load() : 1));
        return call.connection.send(server.success(call, "booked " + call.id));
    };
    const Server::Handler read = [&](Server &server, ServerCall &call) {
        begun.add(call.id);
        pause(recordsWork);
        return call.connection.send(server.success(call, "record " + call.id));
    };
    std::vector<std::unique_ptr<Server>> servers;
    for (std::size_t i = 0; i < 4; ++i) {
        deployment.startNode(i);
        servers.push_back(
            std::make_unique<Server>(record, deployment.machine(i), "i-" + std::to_string(i), i < 2 ? book : read));
        servers.back()->startHeartbeats();
    }
    for (std::size_t i = 0; i < 4; ++i) {
        deployment.awaitReady(i);
    }
    Readers reading(record, deployment, begun);
    if (!eventually([&] { return reading.served() >= 4 * readers; }, Millis(15000))) {
        throw CannotRun{"the deployment does not serve"};
    }
    pause(Millis(4000));
    MemoryWatch memory(record, deployment);
    factor = trouble ? slowFactor : 1;
    if (trouble) {
        record.add("server: the one of " + deployment.machine(0).name + " turns slow, 5 times");
    }
    const std::string body(uploadBytes, 'x');
    std::mutex mutex;
    std::map<int, int> statuses;
    std::vector<std::thread> uploads;
    const SteadyTime until = std::chrono::steady_clock::now() + faultTime;
    for (int i = 0; std::chrono::steady_clock::now() < until && !memory.hasKilled(); ++i) {
        uploads.emplace_back([&, i] {
            Connection connection(deployment.machine(0).ip, Machine::outboundPort);
            connection.send(clientRequest("POST", "/pufi791/2f", "upload-" + std::to_string(i), bookingDeadline, body));
            const int status = connection.read(bookingDeadline + Millis(1000)).status();
            const std::lock_guard<std::mutex> lock(mutex);
            ++statuses[status];
        });
        pause(uploadGap);
    }
    for (std::thread &upload : uploads) {
        upload.join();
    }
    factor = 1;
    memory.stop();
    reading.stop();
    std::string text = "clients: " + std::to_string(uploads.size()) + " uploads, answered";
    for (const auto &[status, count] : statuses) {
        text += " " + (status == 0 ? std::string("not at all") : std::to_string(status)) + ": " + std::to_string(count);
    }
    record.add(text + "; " + std::to_string(reading.served()) + " records read");
    record.add("platform: the node of " + deployment.machine(0).name + " held at most "
               + std::to_string(static_cast<int>(memory.peakMb())) + " MB");
    if (reading.lost() > allowedLosses) {
        record.add("RULE BROKEN: " + std::to_string(reading.lost())
                   + " kept connections were closed with no answer to a request that was passed on");
    }
    return reading.lost() > allowedLosses ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
