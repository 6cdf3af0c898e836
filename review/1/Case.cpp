#include "review/rig/Rig.h"

#include <map>

/**
 * The only server of a service is full at times and rejects requests that must run at most once; the node sends them to
 * it again. With the disruption the server is faulty for five seconds: it hands out 3 in 100 of its answers a second
 * time, late, at the point where the next answer on the connection is expected.
 */
namespace {

using namespace review;

/** Time that the disruption lasts, and for which the server is full at times. */
constexpr Millis faultTime{5000};
/** Of so many requests the server rejects one, before it begins to work on it. */
constexpr int rejectOneOf = 4;
/** Answers that the server hands out for one that it hands out twice: 3 in 100. */
constexpr int answersForOneExtra = 34;
constexpr Millis workTime{8};
constexpr Millis deadline{8000};

/** What the server did, by request id. Thread safe. */
class Runs
{
public:
    void add(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++runs_[id];
    }
    int of(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return runs_[id];
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> runs_;
};

/** Answers calls as a server that is full at times and, with the disruption, faulty. Thread safe. */
class FullServer
{
public:
    FullServer(Record &record, Runs &runs, bool isFaulty)
        : record_(record)
        , runs_(runs)
        , isFaulty_(isFaulty)
    { }

    /** From now on, or no longer, the server is full at times. */
    void setFull(bool isFull)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isFull_ = isFull;
    }

    std::string summary()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return "server: " + std::to_string(answers_) + " answers, " + std::to_string(rejections_) + " rejections, "
               + std::to_string(extras_) + " answers handed out twice";
    }

    bool answer(Server &server, ServerCall &call)
    {
        if (const std::string extra = takeExtra(call); !extra.empty()) {
            call.connection.send(extra);
        }
        if (rejects(call)) {
            return call.connection.send(Server::shed(call));
        }
        runs_.add(call.id);
        record_.add("server: " + call.id + " begins to run, on connection " + std::to_string(call.connectionNumber));
        pause(workTime);
        return call.connection.send(server.success(call, "booked " + call.id));
    }

private:
    std::string takeExtra(const ServerCall &call)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++answers_;
        std::string extra;
        extra.swap(waiting_[call.connectionNumber]);
        if (!extra.empty()) {
            record_.add("server: a late second answer goes out on connection " + std::to_string(call.connectionNumber)
                        + ", where " + call.id + " has arrived");
        }
        return extra;
    }

    bool rejects(const ServerCall &call)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!isFull_ || ++arrivals_ % rejectOneOf != 0) {
            return false;
        }
        ++rejections_;
        record_.add("server: " + call.id + " rejected, not run, on connection "
                    + std::to_string(call.connectionNumber));
        if (isFaulty_ && (extras_ + 1) * answersForOneExtra <= answers_) {
            ++extras_;
            waiting_[call.connectionNumber] = Server::shed(call);
        }
        return true;
    }

    Record &record_;
    Runs &runs_;
    bool isFaulty_;
    std::mutex mutex_;
    bool isFull_ = false;
    int arrivals_ = 0;
    int answers_ = 0;
    int rejections_ = 0;
    int extras_ = 0;
    /** Second answers by connection. */
    std::map<int, std::string> waiting_;
};

bool isPromise(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

int run(Record &record, bool trouble)
{
    Deployment deployment(record, {"voucher-ledger", "programme-registry"});
    RouteText route;
    route.name = "r-redeem";
    route.kind = "unsafe";
    route.prefix = "/pufi791/";
    route.service = "voucher-ledger";
    route.aimMs = 3000;
    route.timeoutMs = 8000;
    deployment.configure({route});
    deployment.startNode(0);
    deployment.startNode(1);
    Runs runs;
    FullServer full(record, runs, trouble);
    const Server::Handler handler = [&](Server &server, ServerCall &call) { return full.answer(server, call); };
    Server ledger(record, deployment.machine(0), "i-ledger", handler);
    Server registry(record, deployment.machine(1), "i-registry", handler);
    ledger.startHeartbeats();
    registry.startHeartbeats();
    deployment.awaitReady(0);
    deployment.awaitReady(1);
    const std::string caller = deployment.machine(1).ip;
    const auto send = [&](const std::string &id) {
        Connection connection(caller, Machine::outboundPort);
        connection.send(clientRequest("POST", "/pufi791/2f", id, deadline, "voucher=17"));
        Message answer = connection.read(deadline + Millis(1000));
        record.add("client: " + id + " answered " + std::to_string(answer.status()));
        return answer;
    };
    int warmUps = 0;
    if (!eventually([&] { return send("warm-up-" + std::to_string(++warmUps)).status() == 200; }, Millis(15000))) {
        throw CannotRun{"the deployment does not serve"};
    }
    std::map<std::string, int> statuses;
    full.setFull(true);
    const SteadyTime until = std::chrono::steady_clock::now() + faultTime;
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
        const std::string id = "redeem-" + std::to_string(i);
        statuses[id] = send(id).status();
    }
    full.setFull(false);
    // What runs late would show in this time.
    pause(Millis(2000));
    record.add(full.summary());
    bool broken = false;
    for (const auto &[id, status] : statuses) {
        const int ran = runs.of(id);
        const bool twice = ran > 1;
        const bool refused = isPromise(status) && ran > 0;
        if (twice || refused) {
            record.add("RULE BROKEN: " + id + " ran " + std::to_string(ran) + " times and was answered "
                       + std::to_string(status));
        }
        broken = broken || twice || refused;
    }
    if (!deployment.node(0).isRunning() || !deployment.node(1).isRunning()) {
        throw CannotRun{"a node has ended"};
    }
    return broken ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
