#include "review/rig/Rig.h"

#include <csignal>
#include <map>

/**
 * A server deregisters, its node acknowledges that, and the server serves on for some seconds, as leaving servers do. A
 * heartbeat that it sent before arrives late. With the disruption the node's process is killed in between and started
 * again by the platform.
 */
namespace {

using namespace review;

/** Bounds of the deployment. */
constexpr Millis drainTime{2500};
constexpr Millis stabilityWindow{4000};
/** How long the server serves after it has deregistered: at times many seconds. */
constexpr Millis servesOn{9500};
/** How late the last heartbeat arrives. */
constexpr Millis heartbeatDelay{1700};
constexpr Millis killAfter{300};
constexpr Millis restartDelay{500};
constexpr Millis workTime{300};
constexpr Millis deadline{4000};
constexpr int clients = 8;

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

std::string secondsText(SteadyTime::duration time)
{
    return std::to_string(std::chrono::duration_cast<Millis>(time).count()) + " ms";
}

/** What the leaving server is handed after its node has acknowledged that it leaves. Thread safe. */
class Leaving
{
public:
    explicit Leaving(Record &record)
        : record_(record)
    { }

    void noteAcknowledged()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        acknowledgedAt_ = now();
        isAcknowledged_ = true;
    }
    /** The node that sends work to the server is in touch from @p time on. */
    void setInTouchSince(SteadyTime time)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        inTouchSince_ = time;
    }
    void noteArrival(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!isAcknowledged_ || now() - acknowledgedAt_ <= drainTime) {
            return;
        }
        const bool counts = sentInTouch_.count(id) > 0 && now() >= inTouchSince_;
        late_ += counts ? 1 : 0;
        record_.add("leaving server: " + id + " reaches it " + secondsText(now() - acknowledgedAt_)
                    + " after the acknowledgement" + (counts ? "" : " (not counted: a machine was not in touch)"));
    }
    void noteSent(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (isAcknowledged_ && now() >= inTouchSince_) {
            sentInTouch_[id] = true;
        }
    }
    int late() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return late_;
    }

private:
    Record &record_;
    mutable std::mutex mutex_;
    bool isAcknowledged_ = false;
    SteadyTime acknowledgedAt_;
    SteadyTime inTouchSince_;
    std::map<std::string, bool> sentInTouch_;
    int late_ = 0;
};

/** Clients that book without pause, each on a connection that it keeps open. */
class Load
{
public:
    Load(Record &record, const Deployment &deployment, Leaving &leaving)
        : record_(record)
    {
        for (int i = 0; i < clients; ++i) {
            const std::string ip = deployment.machine(static_cast<std::size_t>(1 + i % 2)).ip;
            threads_.emplace_back([this, ip, i, &leaving] { run(ip, i, leaving); });
        }
    }
    ~Load()
    {
        stop();
    }
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

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
    int failed() const
    {
        return failed_;
    }

private:
    void run(const std::string &ip, int client, Leaving &leaving)
    {
        auto connection = std::make_unique<Connection>(ip, Machine::outboundPort);
        for (int i = 0; !stopping_; ++i) {
            const std::string id = "book-" + std::to_string(client) + "-" + std::to_string(i);
            leaving.noteSent(id);
            connection->send(clientRequest("POST", "/pufi791/2f", id, deadline, "seat=4"));
            const Message answer = connection->read(deadline + Millis(1000));
            if (answer.status() == 200) {
                ++served_;
                continue;
            }
            ++failed_;
            record_.add("client: " + id + " answered " + std::to_string(answer.status()) + " " + answer.body);
            connection = std::make_unique<Connection>(ip, Machine::outboundPort);
        }
    }

    Record &record_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> served_{0};
    std::atomic<int> failed_{0};
    std::vector<std::thread> threads_;
};

int run(Record &record, bool trouble)
{
    Deployment deployment(record, {"course-desk", "records-desk", "course-desk"});
    RouteText route;
    route.name = "r-booking";
    route.kind = "unsafe";
    route.prefix = "/pufi791/";
    route.service = "course-desk";
    route.timeoutMs = 3000;
    deployment.configure({route});
    for (std::size_t i = 0; i < 3; ++i) {
        deployment.startNode(i);
    }
    Leaving leaving(record);
    const Server::Handler handler = [&](Server &server, ServerCall &call) {
        if (server.id() == "i-leaving") {
            leaving.noteArrival(call.id);
        }
        pause(workTime);
        return call.connection.send(server.success(call, "booked " + call.id));
    };
    auto desk = std::make_unique<Server>(record, deployment.machine(0), "i-leaving", handler);
    Server records(record, deployment.machine(1), "i-records", handler);
    Server other(record, deployment.machine(2), "i-other", handler);
    for (Server *server : {desk.get(), &records, &other}) {
        server->startHeartbeats();
    }
    for (std::size_t i = 0; i < 3; ++i) {
        deployment.awaitReady(i);
    }
    Load load(record, deployment, leaving);
    if (!eventually([&] { return load.served() >= 4 * clients; }, Millis(15000))) {
        throw CannotRun{"the deployment does not serve"};
    }
    pause(stabilityWindow);
    desk->stopHeartbeats();
    const std::string lateHeartbeat = desk->nextHeartbeat("ready");
    const SteadyTime sentAt = now();
    if (desk->callControl(desk->deregistration()) != 200) {
        throw CannotRun{"the deregistration is not acknowledged"};
    }
    const SteadyTime acknowledgedAt = now();
    leaving.noteAcknowledged();
    record.add("leaving server: its node acknowledges the deregistration with 200");
    if (trouble) {
        pause(killAfter);
        deployment.node(0).end(SIGKILL, Millis(2000));
        record.add("platform: killed the node of " + deployment.machine(0).name);
        pause(restartDelay);
        deployment.startNode(0);
        leaving.setInTouchSince(now() + stabilityWindow);
        deployment.awaitReady(0);
    }
    pause(std::chrono::duration_cast<Millis>(sentAt + heartbeatDelay - now()));
    record.add("leaving server: the heartbeat that it sent before it deregistered arrives, answered "
               + std::to_string(desk->callControl(lateHeartbeat)));
    pause(std::chrono::duration_cast<Millis>(acknowledgedAt + servesOn - now()));
    const int failedBefore = load.failed();
    desk.reset();
    record.add("leaving server: exits");
    pause(Millis(1500));
    load.stop();
    record.add("clients: " + std::to_string(load.served()) + " served, " + std::to_string(load.failed())
               + " not, of these " + std::to_string(load.failed() - failedBefore) + " since the server's exit");
    for (std::size_t i = 0; i < 3; ++i) {
        if (!deployment.node(i).isRunning()) {
            throw CannotRun{"a node has ended"};
        }
    }
    if (leaving.late() > 0) {
        record.add("RULE BROKEN: " + std::to_string(leaving.late())
                   + " requests, taken and sent on by machines in touch, reached the server later than drain_ms");
    }
    return leaving.late() > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
