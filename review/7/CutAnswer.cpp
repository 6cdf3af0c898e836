/**
 * A server whose answers have no length crashes while it sends one. The client must not get the first part of the body
 * as a whole answer. The server is a process of its own (this program with the word "server"), which is killed.
 */
#include "platform/Names.h"
#include "review/rig-2/Rig.h"

#include <csignal>
#include <exception>
#include <iostream>

namespace {

using namespace review2;
namespace names = waxwing::platform::names;

constexpr Millis workTime{80};
/** Between the two halves of a body. */
constexpr Millis pauseInBody{120};
constexpr Millis calmTime{2000};
constexpr Millis wholeTime{14000};
/** The server crashes at these times, and is back after downTime. */
constexpr Millis crashInterval{5000};
constexpr Millis downTime{2500};
constexpr int crashes = 2;
constexpr Millis interval{100};
constexpr int statusOk = 200;

std::string wholeBody()
{
    return std::string(300, 'a') + std::string(300, 'b');
}

/** Answers without a length: the end of the connection ends the body. */
bool answerWithoutLength(const HttpText &request, Socket &socket)
{
    const std::string body = wholeBody();
    sleepFor(workTime);
    socket.send("HTTP/1.1 200 OK\r\n" + std::string(names::requestId) + ": " + request.field(names::requestId) + "\r\n"
                + names::signature + ": seal\r\nConnection: close\r\n\r\n" + body.substr(0, body.size() / 2));
    sleepFor(pauseInBody);
    socket.send(body.substr(body.size() / 2));
    return true;
}

[[noreturn]] void runServer(const std::vector<std::string> &words)
{
    Machine machine;
    machine.service = words.at(2);
    machine.control = static_cast<std::uint16_t>(std::stoi(words.at(3)));
    machine.app = static_cast<std::uint16_t>(std::stoi(words.at(4)));
    auto *server = new Server(machine, words.at(5), workTime, Millis(1500));
    server->setAnswer(answerWithoutLength);
    while (true) {
        sleepFor(wholeTime);
    }
}

class Run7
{
public:
    Run7(Record &record, std::string program)
        : record_(record)
        , program_(std::move(program))
        , fleet_({"course-desk", "records-desk", "records-desk"},
                 {{"/dates/", names::retryableKind, "course-desk", 1500}})
    { }

    int run();

private:
    void startServer();
    void send(std::size_t machine);
    void useFleet();

    Record &record_;
    std::string program_;
    Fleet fleet_;
    Process server_;
    int starts_ = 0;
    std::vector<std::thread> clients_;
    std::mutex mutex_;
    int whole_ = 0;
    int cut_ = 0;
    std::atomic<bool> stopped_{false};
};

void Run7::startServer()
{
    const Machine &machine = fleet_.machine(0);
    server_.start({program_, "server", machine.service, std::to_string(machine.control), std::to_string(machine.app),
                   "0-" + std::to_string(++starts_)},
                  "/dev/null");
}

void Run7::send(std::size_t machine)
{
    ClientRequest request;
    request.path = "/dates/1";
    request.id = newRequestId();
    const std::unique_ptr<Socket> socket = Socket::connectTo(fleet_.machine(machine).outbound);
    const bool sent = socket && socket->send(request.text());
    const std::optional<HttpText> response = sent ? socket->read(now() + request.timeout) : std::nullopt;
    record_.line(
        "machine " + std::to_string(machine) + " " + request.id + ": "
        + (response ? response->start + ", " + std::to_string(response->body.size()) + " bytes" : "no answer"));
    if (response && response->status() == statusOk) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++(response->body == wholeBody() ? whole_ : cut_);
    }
}

void Run7::useFleet()
{
    for (SteadyTime next = now(); !stopped_; next += interval) {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (fleet_.takesClients(i)) {
                clients_.emplace_back([this, i] { send(i); });
            }
        }
        sleepUntil(next + interval);
    }
}

int Run7::run()
{
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        fleet_.startNode(i);
    }
    startServer();
    if (!fleet_.awaitServing(Millis(20000))) {
        record_.line("the fleet does not serve");
        fleet_.stop();
        return exitNotRun;
    }
    const SteadyTime begin = now();
    std::thread user([this] { useFleet(); });
    for (int i = 0; hasTrouble() && i < crashes; ++i) {
        sleepUntil(begin + calmTime + i * crashInterval);
        server_.kill();
        record_.line("server 0 crashes");
        sleepFor(downTime);
        startServer();
        record_.line("server 0 is back");
    }
    sleepUntil(begin + wholeTime);
    stopped_ = true;
    user.join();
    for (std::thread &client : clients_) {
        client.join();
    }
    server_.kill();
    fleet_.stop();
    const bool broken = cut_ > 0;
    record_.line(std::to_string(whole_) + " successes with the whole body, " + std::to_string(cut_)
                 + " with a part of it: " + (broken ? "broken" : "held"));
    std::cout << (broken ? "broken: " : "held: ") << cut_ << " cut answers as successes\n";
    return broken ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv, argv + argc);
    if (words.at(1) == "server") {
        runServer(words);
    }
    Record record(words.at(1) + "/record.txt");
    int result = exitNotRun;
    try {
        result = (new Run7(record, words.at(0)))->run();
    } catch (const std::exception &error) {
        record.line(std::string("not run: ") + error.what());
    }
    std::cout.flush();
    endProgram(result);
}
