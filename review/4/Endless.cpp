/**
 * A server in trouble answers with a body that has no end. The clients of the machine beside it must still get their
 * answers, or refusals, by the timeouts of their routes.
 */
#include "platform/Names.h"
#include "review/rig-2/Rig.h"

#include <algorithm>
#include <exception>
#include <iostream>
#include <optional>

namespace {

using namespace review2;
namespace names = waxwing::platform::names;

constexpr Millis routeTimeout{1500};
constexpr Millis allowance{500};
constexpr Millis clientDeadline{3000};
constexpr Millis calmTime{3000};
constexpr Millis troubleTime{5000};
constexpr Millis afterTime{2000};
constexpr Millis interval{100};
/** The server stops sending after this time, whatever its caller does. */
constexpr Millis longestAnswer{20000};
constexpr std::size_t pieceBytes = 262144;
/** A rule that speaks of shares says "eight or more". */
constexpr int leastRequests = 8;

struct Outcome {
    std::size_t machine = 0;
    std::string path;
    Millis sentAt{0};
    /** Time until the answer or the end of the connection; nothing if neither came by the client's deadline. */
    std::optional<Millis> took;
    int status = 0;
};

class Run4
{
public:
    explicit Run4(Record &record)
        : record_(record)
        , fleet_({"course-desk", "records-desk", "records-desk"},
                 {{"/dates/", names::retryableKind, "course-desk", 1500},
                  {"/certs/", names::retryableKind, "records-desk", 1500}})
    { }

    int run();

private:
    void send(std::size_t machine, const std::string &path);
    void sendEndless(const HttpText &request, Socket &socket);
    int evaluate();

    Record &record_;
    Fleet fleet_;
    std::vector<Server *> servers_;
    std::vector<std::thread> clients_;
    std::mutex mutex_;
    std::vector<Outcome> outcomes_;
    std::atomic<bool> inTrouble_{false};
};

void Run4::sendEndless(const HttpText &request, Socket &socket)
{
    const std::string id = request.field(names::requestId);
    record_.line("server 0 answers " + id + " without end");
    std::string piece;
    while (piece.size() < pieceBytes) {
        piece += "1;" + std::string(100, 'x') + "\r\na\r\n";
    }
    const SteadyTime until = now() + longestAnswer;
    std::size_t sent = 0;
    bool open = socket.send("HTTP/1.1 200 OK\r\n" + std::string(names::requestId) + ": " + id
                            + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (open && now() < until) {
        open = socket.send(piece);
        sent += piece.size();
    }
    record_.line("server 0 has sent " + std::to_string(sent) + " bytes to " + id
                 + (open ? " and stops" : ", its caller has closed"));
}

void Run4::send(std::size_t machine, const std::string &path)
{
    ClientRequest request;
    request.path = path;
    request.id = newRequestId();
    request.timeout = clientDeadline;
    Outcome outcome{machine, path, sinceStart(), std::nullopt, 0};
    const SteadyTime begin = now();
    const std::unique_ptr<Socket> socket = Socket::connectTo(fleet_.machine(machine).outbound);
    if (socket && socket->send(request.text())) {
        const std::optional<HttpText> response = socket->read(begin + clientDeadline);
        outcome.status = response ? response->status() : 0;
        if (response || socket->hasEnded()) {
            outcome.took = std::chrono::duration_cast<Millis>(now() - begin);
        }
    } else {
        outcome.took = Millis(0);
    }
    record_.line("machine " + std::to_string(machine) + " " + path + " " + request.id + " sent at "
                 + std::to_string(outcome.sentAt.count()) + ": "
                 + (outcome.took ? std::to_string(outcome.status) + " after " + std::to_string(outcome.took->count())
                                 : "no answer by its deadline"));
    const std::lock_guard<std::mutex> lock(mutex_);
    outcomes_.push_back(outcome);
}

int Run4::run()
{
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        fleet_.startNode(i);
        servers_.push_back(new Server(fleet_.machine(i), std::to_string(i), Millis(80), Millis(1500)));
    }
    servers_[0]->setAnswer([this](const HttpText &request, Socket &socket) {
        if (!inTrouble_) {
            return false;
        }
        sendEndless(request, socket);
        return true;
    });
    if (!fleet_.awaitServing(Millis(20000))) {
        record_.line("the fleet does not serve");
        fleet_.stop();
        return exitNotRun;
    }
    const SteadyTime begin = now();
    const SteadyTime troubleAt = begin + calmTime;
    const SteadyTime calmAt = troubleAt + troubleTime;
    const SteadyTime end = calmAt + afterTime;
    for (SteadyTime next = begin; next < end; next += interval) {
        sleepUntil(next);
        const bool trouble = hasTrouble() && next >= troubleAt && next < calmAt;
        if (trouble != inTrouble_) {
            record_.line(trouble ? "the trouble begins" : "the trouble ends");
        }
        inTrouble_ = trouble;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (fleet_.takesClients(i)) {
                clients_.emplace_back([this, i] { send(i, "/certs/1"); });
            }
        }
        if (fleet_.takesClients(0)) {
            clients_.emplace_back([this] { send(0, "/dates/1"); });
        }
    }
    for (std::thread &client : clients_) {
        client.join();
    }
    fleet_.stop();
    return evaluate();
}

int Run4::evaluate()
{
    int late = 0;
    int later = 0;
    for (const Outcome &one : outcomes_) {
        late += !one.took || *one.took > routeTimeout ? 1 : 0;
        later += !one.took || *one.took > routeTimeout + allowance ? 1 : 0;
    }
    const bool broken = late >= leastRequests && 2 * later > late;
    record_.line(std::to_string(outcomes_.size()) + " requests, " + std::to_string(late)
                 + " unanswered at the route's timeout, " + std::to_string(later)
                 + " of them without an answer half a second later: " + (broken ? "broken" : "held"));
    std::cout << (broken ? "broken: " : "held: ") << later << " of " << late << " late requests\n";
    return broken ? exitBroken : exitHeld;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    int result = exitNotRun;
    try {
        result = (new Run4(record))->run();
    } catch (const std::exception &error) {
        record.line(std::string("not run: ") + error.what());
    }
    std::cout.flush();
    endProgram(result);
}
