#include "review/rig/Rig.h"

#include <set>

/**
 * One server of a small deployment is full for a moment and rejects a request that must run at most once. The node
 * sends the request to the server again. With the disruption the server is faulty: it hands out the rejection a second
 * time, late, at the point where the next response is expected.
 */
namespace {

using namespace review;

constexpr int requests = 10;
constexpr Millis workTime{200};
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
    /** Returns true if this is the first arrival of @p id. */
    bool isFirst(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return seen_.insert(id).second;
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::set<std::string> seen_;
};

/** Answers one call; the extra response is the last rejection on its connection. */
class FullServer
{
public:
    FullServer(Record &record, Runs &runs, bool repeatsRejections)
        : record_(record)
        , runs_(runs)
        , repeatsRejections_(repeatsRejections)
    { }

    bool answer(Server &server, ServerCall &call)
    {
        const std::string extra = takeExtra(call.connectionNumber);
        if (!extra.empty()) {
            record_.add("server: the late second answer goes out on connection " + std::to_string(call.connectionNumber));
            call.connection.send(extra);
        }
        const bool isRejected = call.id.find("full") != std::string::npos && runs_.isFirst(call.id);
        if (isRejected) {
            record_.add("server: " + call.id + " rejected, not run, on connection "
                        + std::to_string(call.connectionNumber));
            const std::string rejection = Server::shed(call);
            if (repeatsRejections_) {
                keepExtra(call.connectionNumber, rejection);
            }
            return call.connection.send(rejection);
        }
        runs_.add(call.id);
        record_.add("server: " + call.id + " begins to run on connection " + std::to_string(call.connectionNumber));
        pause(workTime);
        return call.connection.send(server.success(call, "booked " + call.id));
    }

private:
    std::string takeExtra(int connection)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::string extra;
        extra.swap(extras_[connection]);
        return extra;
    }
    void keepExtra(int connection, const std::string &rejection)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        extras_[connection] = rejection;
    }

    Record &record_;
    Runs &runs_;
    bool repeatsRejections_;
    std::mutex mutex_;
    std::map<int, std::string> extras_;
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
        const Message answer = connection.read(deadline + Millis(1000));
        record.add("client: " + id + " answered " + std::to_string(answer.status()) + " " + answer.body);
        return answer;
    };
    if (!eventually([&] { return send("warm-up").status() == 200; }, Millis(15000))) {
        throw CannotRun{"the deployment does not serve"};
    }
    bool broken = false;
    for (int i = 0; i < requests; ++i) {
        const std::string id = "full-" + std::to_string(i);
        const Message answer = send(id);
        pause(Millis(1500));
        const int ran = runs.of(id);
        const bool twice = ran > 1;
        const bool refused = isPromise(answer.status()) && ran > 0;
        if (twice || refused) {
            record.add(std::string("RULE BROKEN: ") + id + " ran " + std::to_string(ran) + " times and was answered "
                       + std::to_string(answer.status()));
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
