#include "review/rig-2/Rig.h"

#include "platform/Names.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <sstream>
#include <stdexcept>

namespace review2 {

namespace {

using nlohmann::json;
namespace names = waxwing::platform::names;

constexpr std::size_t readSize = 65536;
constexpr int slots = 3;
constexpr int firstPort = 20000;
constexpr int portCount = 10000;
/** Programs that are started beside each other, with neighbouring ids, don't look for the same ports. */
constexpr int portsOfRun = 101;
constexpr Millis acknowledgeTime{1000};
constexpr Millis requestTime{5000};

const SteadyTime startedAt = std::chrono::steady_clock::now();

bool equalsIgnoringCase(const std::string &a, const std::string &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string trimmed(const std::string &text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    const std::size_t end = text.find_last_not_of(" \t\r");
    return begin == std::string::npos ? std::string() : text.substr(begin, end - begin + 1);
}

HttpText parseHead(const std::string &head)
{
    HttpText message;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    message.start = trimmed(line);
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            message.fields.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
        }
    }
    return message;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void require(bool done, const std::string &what)
{
    if (!done) {
        throw std::runtime_error(what);
    }
}

std::string responseText(const std::string &statusLine, const std::string &id, const std::string &fields,
                         const std::string &body)
{
    return "HTTP/1.1 " + statusLine + "\r\n" + names::requestId + ": " + id + "\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

Millis sinceStart()
{
    return std::chrono::duration_cast<Millis>(now() - startedAt);
}

void sleepUntil(SteadyTime when)
{
    std::this_thread::sleep_until(when);
}

void sleepFor(Millis length)
{
    std::this_thread::sleep_for(length);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string &path)
    : file_(path)
{ }

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << sinceStart().count() << " " << text << "\n" << std::flush;
}

std::string HttpText::field(const std::string &name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const auto &one) { return equalsIgnoringCase(one.first, name); });
    return found == fields.end() ? std::string() : found->second;
}

int HttpText::status() const
{
    return std::atoi(word(1).c_str());
}

std::string HttpText::word(int index) const
{
    std::istringstream words(start);
    std::string word;
    for (int i = 0; i <= index; ++i) {
        word.clear();
        words >> word;
    }
    return word;
}

Socket::Socket(int descriptor)
    : descriptor_(descriptor)
{
    const int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Socket::~Socket()
{
    close(descriptor_);
}

std::unique_ptr<Socket> Socket::connectTo(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(descriptor);
        return nullptr;
    }
    return std::make_unique<Socket>(descriptor);
}

bool Socket::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t written = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(written);
    }
    return true;
}

bool Socket::fill(SteadyTime until)
{
    const auto left = std::chrono::duration_cast<Millis>(until - now()).count();
    pollfd ready{descriptor_, POLLIN, 0};
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    std::array<char, readSize> bytes{};
    const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
    ended_ = count <= 0;
    if (!ended_) {
        buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return !ended_;
}

std::optional<HttpText> Socket::read(SteadyTime until)
{
    const std::string headEnd = "\r\n\r\n";
    std::size_t end = 0;
    while ((end = buffer_.find(headEnd)) == std::string::npos) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    HttpText message = parseHead(buffer_.substr(0, end));
    const std::size_t length = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
    const std::size_t total = end + headEnd.size() + length;
    while (buffer_.size() < total) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    message.body = buffer_.substr(end + headEnd.size(), length);
    buffer_.erase(0, total);
    return message;
}

std::string Socket::receive(SteadyTime until)
{
    if (buffer_.empty()) {
        fill(until);
    }
    return std::exchange(buffer_, {});
}

bool Socket::hasEnded() const
{
    return ended_;
}

void Socket::shutDown()
{
    shutdown(descriptor_, SHUT_RDWR);
}

Listener::Listener(std::uint16_t port, Handler handler)
    : handler_(std::move(handler))
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    require(bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0, "bind");
    require(listen(descriptor, SOMAXCONN) == 0, "listen");
    std::thread([this, descriptor] { run(descriptor); }).detach();
}

void Listener::run(int descriptor) const
{
    while (true) {
        const int connection = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            return;
        }
        std::thread([this, connection] {
            Socket socket(connection);
            handler_(socket);
        }).detach();
    }
}

std::uint16_t freePort()
{
    // Below the ports that the system gives to outgoing connections, so that a node finds its ports free when it starts
    // again.
    static std::atomic<int> next{firstPort + getpid() * portsOfRun % portCount};
    for (int tries = 0; tries < portCount; ++tries) {
        const int port = firstPort + (next++ - firstPort) % portCount;
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(static_cast<std::uint16_t>(port));
        const bool isFree = bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        close(descriptor);
        if (isFree) {
            return static_cast<std::uint16_t>(port);
        }
    }
    throw std::runtime_error("no free port");
}

void endProgram(int result)
{
    std::fflush(nullptr);
    std::_Exit(result);
}

std::string ClientRequest::text() const
{
    const std::string length = body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + " " + path + " HTTP/1.1\r\nHost: " + Fleet::host + "\r\n" + names::requestId + ": " + id + "\r\n"
           + names::timeoutMs + ": " + std::to_string(timeout.count()) + "\r\n" + length + "\r\n" + body;
}

std::string newRequestId()
{
    static std::atomic<std::uint64_t> next{1};
    return "r" + std::to_string(getpid()) + "-" + std::to_string(next++);
}

int exchange(std::uint16_t port, const std::string &method, const std::string &target, const std::string &body,
             Millis timeout, std::string *responseBody)
{
    const std::unique_ptr<Socket> socket = Socket::connectTo(port);
    if (!socket) {
        return 0;
    }
    socket->send(method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n"
                 + "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
    const std::optional<HttpText> response = socket->read(now() + timeout);
    if (response && responseBody != nullptr) {
        *responseBody = response->body;
    }
    return response ? response->status() : 0;
}

Process::~Process()
{
    kill();
}

void Process::start(const std::vector<std::string> &words, const std::string &output)
{
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (const std::string &word : words) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    close(log);
}

void Process::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void Process::wait()
{
    if (pid_ > 0) {
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

void Process::kill()
{
    signal(SIGKILL);
    wait();
}

bool Process::isRunning()
{
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = -1;
    }
    return pid_ > 0;
}

pid_t Process::id() const
{
    return pid_;
}

StoreGate::StoreGate(std::uint16_t port, std::uint16_t store)
    : store_(store)
    , listener_(port, [this](Socket &client) { handle(client); })
{ }

void StoreGate::refuse(bool refuses)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    refuses_ = refuses;
    for (Socket *socket : open_) {
        socket->shutDown();
    }
}

void StoreGate::handle(Socket &client)
{
    std::unique_ptr<Socket> store = Socket::connectTo(store_);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (refuses_ || !store) {
            store.reset();
        } else {
            open_.push_back(&client);
            open_.push_back(store.get());
        }
    }
    if (!store) {
        client.read(now() + requestTime);
        client.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return;
    }
    std::thread back([&] { pump(*store, client); });
    pump(client, *store);
    back.join();
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto isOwn = [&](const Socket *one) { return one == &client || one == store.get(); };
    open_.erase(std::remove_if(open_.begin(), open_.end(), isOwn), open_.end());
}

void StoreGate::pump(Socket &from, Socket &to)
{
    const Millis longest{120000};
    for (std::string bytes = from.receive(now() + longest); !bytes.empty(); bytes = from.receive(now() + longest)) {
        if (!to.send(bytes)) {
            break;
        }
    }
    from.shutDown();
    to.shutDown();
}

Fleet::Fleet(const std::vector<std::string> &services, const std::vector<RouteSpec> &routes)
    : routes_(routes)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    require(mkdtemp(pattern.data()) != nullptr, "no temporary directory");
    directory_ = pattern;
    storePort_ = freePort();
    store_.start({"review/build/rig-2/standin-objectapi", "--port", std::to_string(storePort_)},
                 directory_ + "/store.log");
    for (const std::string &service : services) {
        Machine machine;
        machine.service = service;
        for (std::uint16_t *port :
             {&machine.outbound, &machine.control, &machine.ready, &machine.internal, &machine.metrics, &machine.app}) {
            *port = freePort();
        }
        machine.store = storePort_;
        machine.node = std::make_unique<Process>();
        machines_.push_back(std::move(machine));
    }
    const SteadyTime until = now() + requestTime;
    bool written = false;
    while (!written && now() < until) {
        sleepFor(Millis(50));
        written = writeConfig(routes);
    }
    require(written, "the configuration can't be written");
}

void Fleet::stop()
{
    for (const Machine &machine : machines_) {
        machine.node->kill();
    }
    store_.kill();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

Machine &Fleet::machine(std::size_t index)
{
    return machines_.at(index);
}

std::size_t Fleet::size() const
{
    return machines_.size();
}

std::uint16_t Fleet::storePort() const
{
    return storePort_;
}

bool Fleet::writeConfig(const std::vector<RouteSpec> &routes) const
{
    json rules = json::array();
    for (const RouteSpec &route : routes) {
        rules.push_back(
            {{"name", "route" + route.prefix},
             {"kind", route.kind},
             {"target_latency_ms", 1000},
             {"priority", 1},
             {"match", {{"path_prefix", route.prefix}}},
             {"action", {{"service", route.service}, {"timeout_ms", route.timeoutMs}, {"max_attempts", 2}}}});
    }
    const json document = {{"version", "r7"},
                           {"limits",
                            {{"max_header_bytes", 16384},
                             {"max_body_bytes", 67108864},
                             {"header_timeout_ms", 3000},
                             {"idle_timeout_ms", 15000}}},
                           {"listeners", json::array({{{"host", host}, {"rules", rules}}})},
                           {"clusters", json::array()}};
    const json object = {{"metadata", {{"name", names::configName}}}, {"spec", document}};
    const int status =
        exchange(storePort_, "POST", std::string(names::objects) + names::configKind, object.dump(), acknowledgeTime);
    return status == 200 || status == 201;
}

std::string Fleet::settingsOf(std::size_t index, bool firstStart) const
{
    const Machine &machine = machines_.at(index);
    const auto at = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    json settings = {{"node", "sidecar-" + std::to_string(index)},
                     {"zone", index % 2 == 0 ? "palermo-a" : "palermo-b"},
                     {"region", "palermo"},
                     {"listen",
                      {{"callers", at(machine.outbound)},
                       {"operators", at(machine.control)},
                       {"readiness", at(machine.ready)},
                       {"peers", at(machine.internal)},
                       {"metrics", at(machine.metrics)}}},
                     {"objectApi", at(machine.store)},
                     {"server", {{"service", machine.service}, {"address", at(machine.app)}}},
                     {"bounds",
                      {{"seed_lag_s", 3},
                       {"reuse_after_s", 2},
                       {"stability_window_ms", 4000},
                       {"ack_ms", 4000},
                       {"sync_s", 4},
                       {"drain_ms", 2500},
                       {"grace_s", 6},
                       {"lost_ms", 200},
                       {"config_apply_ms", 2500},
                       {"rollback_slack_ms", 250},
                       {"max_stretch_ms", 5000},
                       {"retry_budget_ratio", 0.2},
                       {"retry_window_s", 10},
                       {"budget_slack", 62},
                       {"recover_s", 15},
                       {"probes_per_s", 3},
                       {"floor_share", 0.7}}},
                     {"contracts", {"base", "drain", "config", "cost", "retry", "recover", "health", "platform"}}};
    if (firstStart) {
        settings["bootstrap"] = true;
    }
    std::string path = directory_ + "/node-" + std::to_string(index) + ".json";
    std::ofstream(path) << settings.dump(2);
    return path;
}

const std::string &Fleet::directory() const
{
    return directory_;
}

void Fleet::startNode(std::size_t index, bool firstStart)
{
    const std::string settings = settingsOf(index, firstStart);
    machines_.at(index).node->start({"target/waxwingd", "--settings", settings},
                                    directory_ + "/node-" + std::to_string(index) + ".log");
}

bool Fleet::awaitServing(Millis timeout)
{
    const SteadyTime until = now() + timeout;
    const auto serves = [&](const Machine &machine, const RouteSpec &route) {
        ClientRequest request;
        request.path = route.prefix + "settle";
        request.id = newRequestId();
        const std::unique_ptr<Socket> socket = Socket::connectTo(machine.outbound);
        const bool sent = socket && socket->send(request.text());
        const std::optional<HttpText> response = sent ? socket->read(now() + request.timeout) : std::nullopt;
        return response && response->status() == 200;
    };
    for (const Machine &machine : machines_) {
        for (const RouteSpec &route : routes_) {
            while (route.kind == names::retryableKind && !serves(machine, route)) {
                if (now() >= until) {
                    return false;
                }
                sleepFor(Millis(100));
            }
        }
    }
    for (const Machine &machine : machines_) {
        std::thread([port = machine.ready, isIn = machine.isIn] { checkReadiness(port, isIn); }).detach();
    }
    return true;
}

void Fleet::checkReadiness(std::uint16_t port, const std::shared_ptr<std::atomic<bool>> &isIn)
{
    const Millis checkInterval{1000};
    int misses = 0;
    while (true) {
        const SteadyTime next = now() + checkInterval;
        const bool ready = exchange(port, "GET", names::readiness, "", checkInterval) == 200;
        misses = ready ? 0 : misses + 1;
        *isIn = misses < 2;
        sleepUntil(next);
    }
}

bool Fleet::takesClients(std::size_t index) const
{
    return *machines_.at(index).isIn;
}

Server::Server(const Machine &machine, std::string name, Millis work, Millis heartbeatInterval)
    : control_(machine.control)
    , app_(machine.app)
    , service_(machine.service)
    , id_("i-" + std::move(name))
    , work_(work)
    , heartbeatInterval_(heartbeatInterval)
    , born_(std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count())
    , listener_(machine.app, [this](Socket &socket) { handle(socket); })
{
    std::thread([this] { beat(); }).detach();
}

void Server::setAnswer(Answer answer)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    answer_ = std::move(answer);
}

void Server::stopHeartbeats()
{
    stopped_ = true;
}

std::string Server::nextHeartbeat()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return json{{"service", service_},    {"address", "127.0.0.1:" + std::to_string(app_)},
                {"zone", "palermo-a"},    {"version", "v1"},
                {"slots", slots},         {"state", "ready"},
                {"cold_remaining_ms", 0}, {"sequence", ++sequence_},
                {"born", born_}}
        .dump();
}

int Server::call(const std::string &what, const std::string &body) const
{
    return exchange(control_, "POST", names::serverCalls + id_ + "/" + what, body, acknowledgeTime);
}

int Server::sendHeartbeat(const std::string &body) const
{
    return call(names::heartbeatCall, body);
}

int Server::deregister() const
{
    return call(names::leaveCall, json{{"born", born_}}.dump());
}

std::vector<Run> Server::runs()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
}

void Server::beat()
{
    while (!stopped_) {
        sendHeartbeat(nextHeartbeat());
        const SteadyTime next = now() + heartbeatInterval_;
        while (!stopped_ && now() < next) {
            sleepFor(Millis(20));
        }
    }
}

void Server::handle(Socket &socket)
{
    const Millis idle{10000};
    while (const std::optional<HttpText> request = socket.read(now() + idle)) {
        if (!answer(*request, socket)) {
            return;
        }
    }
}

bool Server::answer(const HttpText &request, Socket &socket)
{
    const std::string id = request.field(names::requestId);
    if (request.field(names::expectedServer) != id_) {
        return socket.send(responseText("421 Misdirected Request", id, "", ""));
    }
    Answer special;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (running_ >= slots) {
            return socket.send(responseText("503 Service Unavailable", id, std::string(names::notRun) + ": 1\r\n", ""));
        }
        ++running_;
        runs_.push_back(Run{id, request.word(1), now()});
        special = answer_;
    }
    const bool isAnswered = special && special(request, socket);
    bool keepsOpen = !isAnswered;
    if (!isAnswered) {
        sleepFor(work_);
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        --running_;
    }
    if (!isAnswered) {
        keepsOpen = socket.send(
            responseText("200 OK", id, std::string(names::signature) + ": seal\r\n", "whole answer to " + id));
    }
    return keepsOpen;
}

KeptClients::KeptClients(Fleet &fleet, Record &record)
    : fleet_(fleet)
    , record_(record)
{ }

void KeptClients::add(std::size_t machine, const std::string &path)
{
    threads_.emplace_back([this, machine, path] { run(machine, path); });
}

void KeptClients::stop()
{
    stopped_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
}

int KeptClients::answered() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return answered_;
}

std::size_t KeptClients::lost(const std::vector<Server *> &servers) const
{
    std::set<std::string> passedOn;
    for (Server *server : servers) {
        for (const Run &run : server->runs()) {
            passedOn.insert(run.id);
        }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(closed_.begin(), closed_.end(), [&](const std::string &id) { return passedOn.count(id) > 0; }));
}

void KeptClients::run(std::size_t machine, const std::string &path)
{
    const Millis pause{20};
    std::unique_ptr<Socket> socket;
    bool isKept = false;
    while (!stopped_) {
        if (!fleet_.takesClients(machine)) {
            sleepFor(pause);
            continue;
        }
        if (!socket) {
            socket = Socket::connectTo(fleet_.machine(machine).outbound);
            isKept = false;
        }
        ClientRequest request;
        request.path = path;
        request.id = newRequestId();
        const bool sent = socket && socket->send(request.text());
        const std::optional<HttpText> response = sent ? socket->read(now() + request.timeout) : std::nullopt;
        if (response) {
            isKept = response->field("Connection") != "close";
            const std::lock_guard<std::mutex> lock(mutex_);
            ++answered_;
        } else if (isKept && socket->hasEnded()) {
            record_.line("machine " + std::to_string(machine) + " closed without an answer: " + request.id);
            const std::lock_guard<std::mutex> lock(mutex_);
            closed_.push_back(request.id);
        }
        if (!response || !isKept) {
            socket.reset();
            sleepFor(pause);
        }
    }
}

} // namespace review2
