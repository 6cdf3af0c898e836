/**
 * One client sends a request whose body is as large as the configuration allows. The node must stay within the memory
 * of its machine: the platform kills a process that exceeds it, and the requests of its other clients are lost.
 */
#include "platform/Names.h"
#include "review/rig-2/Rig.h"

#include <csignal>
#include <exception>
#include <iostream>

namespace {

using namespace review2;
namespace names = waxwing::platform::names;

/** `memory_mb` of the site's machines. */
constexpr long memoryKilobytes = 260L * 1024;
/** `max_body_bytes` of the configuration. */
constexpr std::size_t largestBody = 67108864;
constexpr std::size_t usualBody = 1200;
constexpr std::size_t mostLost = 3;
constexpr int clientsOfEach = 6;
constexpr Millis workTime{250};
constexpr Millis clientDeadline{4000};
constexpr Millis calmTime{3000};
constexpr Millis wholeTime{9000};
constexpr Millis restartDelay{500};

/** Returns the largest size in kilobytes that the process has had in memory so far. */
long peakKilobytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.compare(0, 6, "VmHWM:") == 0) {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

class Run7
{
public:
    explicit Run7(Record &record)
        : record_(record)
        , fleet_({"course-desk", "records-desk", "records-desk"},
                 {{"/dates/", names::retryableKind, "course-desk", 1500},
                  {"/certs/", names::retryableKind, "records-desk", 1500},
                  {"/seats/", names::nonRetryableKind, "course-desk", 2000}})
    { }

    int run();

private:
    void sendBody();
    void watchMemory();
    int evaluate();

    Record &record_;
    Fleet fleet_;
    std::vector<Server *> servers_;
    KeptClients *clients_ = nullptr;
    int kills_ = 0;
    std::atomic<bool> stopped_{false};
};

void Run7::sendBody()
{
    ClientRequest request;
    request.method = "POST";
    request.path = "/seats/1";
    request.id = newRequestId();
    request.timeout = clientDeadline;
    request.body = std::string(hasTrouble() ? largestBody : usualBody, 'b');
    record_.line("machine 0 " + request.path + " " + request.id + " with a body of "
                 + std::to_string(request.body.size()) + " bytes");
    const std::unique_ptr<Socket> socket = Socket::connectTo(fleet_.machine(0).outbound);
    const bool sent = socket && socket->send(request.text());
    const std::optional<HttpText> response = sent ? socket->read(now() + clientDeadline) : std::nullopt;
    record_.line(request.id + ": " + (response ? response->start : "no answer"));
}

void Run7::watchMemory()
{
    while (!stopped_) {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            Process &node = *fleet_.machine(i).node;
            const long peak = peakKilobytes(node.id());
            if (peak <= memoryKilobytes) {
                continue;
            }
            node.kill();
            ++kills_;
            record_.line("node " + std::to_string(i) + " exceeds its memory with " + std::to_string(peak)
                         + " KiB and is killed");
            sleepFor(restartDelay);
            fleet_.startNode(i, false);
        }
        sleepFor(Millis(1));
    }
}

int Run7::run()
{
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        fleet_.startNode(i);
        servers_.push_back(new Server(fleet_.machine(i), std::to_string(i), workTime, Millis(1500)));
    }
    if (!fleet_.awaitServing(Millis(20000))) {
        record_.line("the fleet does not serve");
        fleet_.stop();
        return exitNotRun;
    }
    std::thread watcher([this] { watchMemory(); });
    clients_ = new KeptClients(fleet_, record_);
    for (int i = 0; i < clientsOfEach; ++i) {
        clients_->add(0, "/certs/1");
        clients_->add(0, "/dates/1");
    }
    const SteadyTime end = now() + wholeTime;
    sleepFor(calmTime);
    sendBody();
    sleepUntil(end);
    clients_->stop();
    stopped_ = true;
    watcher.join();
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        record_.line("node " + std::to_string(i) + " has had up to "
                     + std::to_string(peakKilobytes(fleet_.machine(i).node->id())) + " KiB since its last start");
    }
    fleet_.stop();
    return evaluate();
}

int Run7::evaluate()
{
    const std::size_t lost = clients_->lost(servers_);
    const bool broken = lost > mostLost;
    record_.line(std::to_string(clients_->answered()) + " answered, " + std::to_string(kills_) + " kills, "
                 + std::to_string(lost)
                 + " passed on to a server and closed without an answer: " + (broken ? "broken" : "held"));
    std::cout << (broken ? "broken: " : "held: ") << lost << " lost\n";
    return broken ? exitBroken : exitHeld;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    int result = exitNotRun;
    try {
        result = (new Run7(record))->run();
    } catch (const std::exception &error) {
        record.line(std::string("not run: ") + error.what());
    }
    std::cout.flush();
    endProgram(result);
}
