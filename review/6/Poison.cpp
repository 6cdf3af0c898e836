/**
 * A request crashes each server that runs it, after the server has sent the head of its answer. It comes again and
 * again. After three crashes the fleet must keep it from the servers. Each server is a process of its own (this program
 * with the word "server").
 */
#include "platform/Names.h"
#include "review/rig-2/Rig.h"

#include <cstdio>
#include <exception>
#include <iostream>
#include <sstream>

namespace {

using namespace review2;
namespace names = waxwing::platform::names;

constexpr Millis workTime{80};
constexpr Millis stabilityWindow{4000};
constexpr Millis restartDelay{2000};
constexpr Millis heartbeatInterval{1500};
constexpr Millis calmTime{2000};
constexpr Millis wholeTime{45000};
constexpr Millis poisonInterval{1500};
constexpr Millis interval{200};
constexpr int crashesAllowed = 3;
constexpr int mostRetries = 3;
const std::string poisonPath = "/dates/poison";

/** Sends the head and a part of the answer, and ends the process. */
bool crash(const HttpText &request, Socket &socket)
{
    if (request.word(1) != poisonPath) {
        return false;
    }
    const std::string id = request.field(names::requestId);
    std::printf("crash %s\n", id.c_str());
    std::fflush(stdout);
    sleepFor(workTime);
    socket.send("HTTP/1.1 200 OK\r\n" + std::string(names::requestId) + ": " + id + "\r\n" + names::signature
                + ": seal\r\nContent-Length: 600\r\n\r\npart");
    sleepFor(workTime);
    endProgram(1);
}

[[noreturn]] void runServer(const std::vector<std::string> &words)
{
    Machine machine;
    machine.service = words.at(2);
    machine.control = static_cast<std::uint16_t>(std::stoi(words.at(3)));
    machine.app = static_cast<std::uint16_t>(std::stoi(words.at(4)));
    auto *server = new Server(machine, words.at(5), workTime, heartbeatInterval);
    server->setAnswer(crash);
    while (true) {
        sleepFor(wholeTime);
    }
}

struct Crash {
    std::string id;
    SteadyTime at;
};

class Run6
{
public:
    Run6(Record &record, std::string program)
        : record_(record)
        , program_(std::move(program))
        , fleet_(std::vector<std::string>(4, "course-desk"), {{"/dates/", names::retryableKind, "course-desk", 1500}})
    { }

    int run();

private:
    void superviseServer(std::size_t index);
    /** Sends a request and returns its id. */
    void send(std::size_t machine, const std::string &path, const std::string &id);
    int evaluate();

    Record &record_;
    std::string program_;
    Fleet fleet_;
    std::mutex mutex_;
    std::vector<Crash> crashes_;
    std::map<std::string, SteadyTime> poisonSentAt_;
    std::vector<std::thread> clients_;
    std::atomic<bool> stopped_{false};
};

void Run6::superviseServer(std::size_t index)
{
    const Machine &machine = fleet_.machine(index);
    for (int start = 1; !stopped_; ++start) {
        const std::string name = std::to_string(index) + "-" + std::to_string(start);
        const std::string output = fleet_.directory() + "/server-" + name;
        Process server;
        server.start(
            {program_, "server", machine.service, std::to_string(machine.control), std::to_string(machine.app), name},
            output);
        while (!stopped_ && server.isRunning()) {
            sleepFor(Millis(5));
        }
        if (stopped_) {
            return;
        }
        std::string word;
        std::string id;
        std::ifstream(output) >> word >> id;
        std::string line = "server ";
        line.append(name).append(" has crashed with ").append(id);
        record_.line(line);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            crashes_.push_back(Crash{id, now()});
        }
        sleepFor(restartDelay);
    }
}

void Run6::send(std::size_t machine, const std::string &path, const std::string &id)
{
    ClientRequest request;
    request.path = path;
    request.id = id;
    const std::unique_ptr<Socket> socket = Socket::connectTo(fleet_.machine(machine).outbound);
    const bool sent = socket && socket->send(request.text());
    const std::optional<HttpText> response = sent ? socket->read(now() + request.timeout) : std::nullopt;
    record_.line("machine " + std::to_string(machine) + " " + path + " " + id + ": "
                 + (response ? response->start + " " + response->body : "no answer"));
}

int Run6::run()
{
    std::vector<std::thread> supervisors;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        fleet_.startNode(i);
        supervisors.emplace_back([this, i] { superviseServer(i); });
    }
    if (!fleet_.awaitServing(Millis(20000))) {
        record_.line("the fleet does not serve");
        return exitNotRun;
    }
    const SteadyTime begin = now();
    SteadyTime nextPoison = begin + calmTime;
    std::size_t turn = 0;
    for (SteadyTime next = begin; next < begin + wholeTime; next += interval) {
        sleepUntil(next);
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (fleet_.takesClients(i)) {
                clients_.emplace_back([this, i] { send(i, "/dates/1", newRequestId()); });
            }
        }
        if (next >= nextPoison) {
            nextPoison += poisonInterval;
            const std::string id = newRequestId();
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                poisonSentAt_[id] = now();
            }
            const std::size_t machine = turn++ % fleet_.size();
            clients_.emplace_back([this, machine, id] { send(machine, hasTrouble() ? poisonPath : "/dates/2", id); });
        }
    }
    for (std::thread &client : clients_) {
        client.join();
    }
    stopped_ = true;
    for (std::thread &supervisor : supervisors) {
        supervisor.join();
    }
    fleet_.stop();
    return evaluate();
}

int Run6::evaluate()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    int retries = 0;
    std::string lastId;
    for (std::size_t i = crashesAllowed; i < crashes_.size(); ++i) {
        const Crash &one = crashes_.at(i);
        const bool isLate = poisonSentAt_[one.id] > crashes_.at(crashesAllowed - 1).at + stabilityWindow;
        retries += isLate && one.id != lastId ? 1 : 0;
        lastId = one.id;
    }
    const bool broken = retries > mostRetries;
    record_.line(std::to_string(crashes_.size()) + " crashes, " + std::to_string(retries)
                 + " retries reached servers later than stability_window_ms after the third crash: "
                 + (broken ? "broken" : "held"));
    std::cout << (broken ? "broken: " : "held: ") << crashes_.size() << " crashes, " << retries << " late retries\n";
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
        result = (new Run6(record, words.at(0)))->run();
    } catch (const std::exception &error) {
        record.line(std::string("not run: ") + error.what());
    }
    std::cout.flush();
    endProgram(result);
}
