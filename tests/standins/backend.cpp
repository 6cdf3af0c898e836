/**
 * Stand-in for a backend server: announces itself, runs requests in slots, and records every execution in a ledger. On
 * demand it fails gray: its health endpoint succeeds while real requests stall, slow down, fail, or have their
 * responses reset or truncated.
 */
#include "include/home/Announcement.h"
#include "src/http/HttpClient.h"
#include "src/http/HttpServer.h"
#include "tests/standins/StandinMain.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <random>

namespace {

using namespace waxwing;
using nlohmann::json;

constexpr Millis announceInterval{500};
constexpr Millis announceTimeout{400};
const std::string poisonMarker = "ends-the-server";
constexpr Millis crashDelay{20};

/** How real requests fail; the health endpoint always succeeds. */
struct Mode {
    std::string name = "ok";
    /** Fraction of affected requests, 0 to 1. */
    double share = 1.0;
    double factor = 5.0;
};

struct Options {
    std::string service;
    std::string name;
    std::vector<std::string> homes;
    std::string ledger;
    std::uint32_t slots = 3;
    Millis work{5};
    Millis coldDuration{0};
    std::uint64_t seed = 1;
    /** Port to announce, if it differs from the listening port. */
    std::uint16_t announcedPort = 0;
};

class Backend
{
public:
    Backend(boost::asio::io_context &ioContext, Options options)
        : ioContext_(ioContext)
        , client_(ioContext)
        , options_(std::move(options))
        , random_(options_.seed)
        , startedAt_(std::chrono::steady_clock::now())
        , incarnation_(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count() / 1000))
    {
        if (!options_.ledger.empty()) {
            ledger_.open(options_.ledger, std::ios::app);
        }
    }

    HttpReply handle(const HttpRequest &request, const CallerWatchPtr &caller)
    {
        if (request.target == "/healthz") {
            return HttpReply{jsonResponse(200, "{\"healthy\":true}"), AfterResponse::KeepOpen};
        }
        if (request.target.compare(0, 2, "/_") == 0) {
            return control(request);
        }
        return work(request, caller);
    }

    void announceLoop(std::uint16_t port)
    {
        port_ = options_.announcedPort != 0 ? options_.announcedPort : port;
        while (!stopped_) {
            announceOnce();
            sleepFor(ioContext_, announceInterval);
        }
    }

    /** Announces draining, waits up to 10 s for running requests to finish, then announces that the server leaves. */
    void stop()
    {
        state_ = ServerState::Draining;
        announceOnce();
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (running_ > 0 && std::chrono::steady_clock::now() < until) {
            sleepFor(ioContext_, Millis(10));
        }
        state_ = ServerState::Leaving;
        announceOnce();
        stopped_ = true;
    }

private:
    void announceOnce()
    {
        Announcement announcement;
        announcement.service = options_.service;
        announcement.server = options_.name;
        announcement.incarnation = incarnation_;
        announcement.address = "127.0.0.1";
        announcement.port = port_;
        announcement.slots = options_.slots;
        announcement.connections = 400;
        announcement.state = state_;
        for (std::size_t attempts = 0; attempts < options_.homes.size(); ++attempts) {
            Findings ignored;
            const Endpoint home = parseEndpoint(options_.homes[home_ % options_.homes.size()], "", ignored);
            const auto response = client_.exchange(
                home, HttpRequest{"POST", "/v1/announce", {}, announcementJson(announcement)}, announceTimeout);
            const json body = response ? json::parse(response->body, nullptr, false) : json();
            if (response && response->status == 200 && body.is_object() && !body.value("move", false)) {
                return;
            }
            ++home_;
        }
    }

    HttpReply control(const HttpRequest &request)
    {
        if (request.target == "/_ledger") {
            return HttpReply{jsonResponse(200, json{{"executions", executions_}, {"mostRunning", maxRunning_}}.dump()),
                             AfterResponse::KeepOpen};
        }
        const json body = json::parse(request.body, nullptr, false);
        if (request.target != "/_mode" || !body.is_object()) {
            return HttpReply{jsonResponse(400, "{\"error\":\"POST /_mode or GET /_ledger\"}"), AfterResponse::KeepOpen};
        }
        mode_.name = body.value("mode", std::string("ok"));
        mode_.share = body.value("share", 1.0);
        mode_.factor = body.value("factor", 5.0);
        options_.work = Millis(body.value("workMs", options_.work.count()));
        return HttpReply{jsonResponse(200, "{}"), AfterResponse::KeepOpen};
    }

    bool affected()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < mode_.share;
    }

    bool isFailingNow() const
    {
        // Flapping: healthy and failing for two seconds each.
        const auto age = std::chrono::steady_clock::now() - startedAt_;
        return (age / std::chrono::seconds(2)) % 2 == 1;
    }

    void recordExecution(const HttpRequest &request)
    {
        ++executions_;
        const std::string id(headerValue(request.headers, "X-Request-Id"));
        const std::string key(headerValue(request.headers, "Idempotency-Key"));
        ledger_ << options_.name << " " << (id.empty() ? "-" : id) << " " << (key.empty() ? "-" : key) << " "
                << request.method << " " << request.target << "\n"
                << std::flush;
    }

    HttpReply shed()
    {
        HttpReply reply{jsonResponse(503, "{\"error\":\"busy\"}"), AfterResponse::KeepOpen};
        reply.response.headers.emplace_back("Waxwing-Not-Run", "true");
        reply.response.headers.emplace_back("Retry-After", "1");
        return reply;
    }

    HttpReply work(const HttpRequest &request, const CallerWatchPtr &caller)
    {
        const bool isAffected = mode_.name != "ok" && affected() && (mode_.name != "flap" || isFailingNow());
        if (running_ >= options_.slots || (isAffected && mode_.name == "shed")) {
            return shed();
        }
        if (request.body.text().find(poisonMarker) != std::string::npos
            || request.target.find(poisonMarker) != std::string::npos) {
            recordExecution(request);
            // An exiting process closes its sockets one after the other: here the connection first, then the listener.
            spawnFiber([this] {
                sleepFor(ioContext_, crashDelay);
                std::_Exit(9);
            });
            return HttpReply{HttpResponse(), AfterResponse::Reset};
        }
        ++running_;
        maxRunning_ = std::max(maxRunning_, running_);
        recordExecution(request);
        Millis length = options_.work;
        const auto age = std::chrono::steady_clock::now() - startedAt_;
        if (age < options_.coldDuration) {
            length *= 4;
        }
        if (isAffected && (mode_.name == "stall" || mode_.name == "flap")) {
            length = std::chrono::seconds(30);
        } else if (isAffected && mode_.name == "slow") {
            length = Millis(static_cast<std::int64_t>(static_cast<double>(length.count()) * mode_.factor));
        }
        // If the caller closes its connection, the request is cancelled and its slot becomes free.
        boost::asio::steady_timer timer(ioContext_, length);
        caller->onDisconnect = [&timer] { timer.cancel(); };
        await([&](auto handle) { timer.async_wait(std::move(handle)); });
        caller->onDisconnect = {};
        --running_;
        return respond(request, isAffected);
    }

    HttpReply respond(const HttpRequest &request, bool isAffected)
    {
        const std::string id(headerValue(request.headers, "X-Request-Id"));
        const json body = {{"server", options_.name},      {"request", id},
                           {"method", request.method},     {"target", request.target},
                           {"bytes", request.body.size()}, {"padding", std::string(200, 'x')}};
        HttpReply reply{jsonResponse(200, body.dump()), AfterResponse::KeepOpen};
        reply.response.headers.emplace_back("X-Request-Id", id);
        if (isAffected && mode_.name == "errors") {
            reply.response.status = 500;
        } else if (isAffected && mode_.name == "cut") {
            reply.after = AfterResponse::TruncateBody;
        } else if (isAffected && mode_.name == "reset") {
            reply.after = AfterResponse::Reset;
        }
        return reply;
    }

    boost::asio::io_context &ioContext_;
    HttpClient client_;
    Options options_;
    std::mt19937_64 random_;
    std::chrono::steady_clock::time_point startedAt_;
    std::uint64_t incarnation_;
    std::ofstream ledger_;
    Mode mode_;
    ServerState state_ = ServerState::Serving;
    std::size_t home_ = 0;
    std::uint16_t port_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t maxRunning_ = 0;
    std::uint64_t executions_ = 0;
    bool stopped_ = false;
};

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("stand-in for a backend server");
    // clang-format off
    options.add_options()
        ("service", po::value<std::string>()->required(), "service name")
        ("name", po::value<std::string>()->required(), "server name")
        ("homes", po::value<std::string>()->required(), "operator endpoints of nodes, separated by commas")
        ("ledger", po::value<std::string>()->default_value(""), "file to append executions to")
        ("slots", po::value<std::uint32_t>()->default_value(3), "requests that run at once")
        ("work-ms", po::value<int>()->default_value(5), "processing time of a request")
        ("cold-ms", po::value<int>()->default_value(0), "time after the start with a fourfold processing time")
        ("announced-port", po::value<std::uint16_t>()->default_value(0), "port to announce; 0: the listening port")
        ("seed", po::value<std::uint64_t>()->default_value(1), "random seed")
        ("port", po::value<std::uint16_t>()->default_value(0), "0 picks a free one");
    // clang-format on
    return standin::runStandin(
        argc, argv, options, [](boost::asio::io_context &ioContext, const po::variables_map &values) {
            Options parsed;
            parsed.service = values["service"].as<std::string>();
            parsed.name = values["name"].as<std::string>();
            boost::algorithm::split(parsed.homes, values["homes"].as<std::string>(), boost::algorithm::is_any_of(","));
            parsed.ledger = values["ledger"].as<std::string>();
            parsed.slots = values["slots"].as<std::uint32_t>();
            parsed.work = Millis(values["work-ms"].as<int>());
            parsed.coldDuration = Millis(values["cold-ms"].as<int>());
            parsed.seed = values["seed"].as<std::uint64_t>();
            parsed.announcedPort = values["announced-port"].as<std::uint16_t>();
            Backend backend(ioContext, parsed);
            auto server = HttpServer::MakeListening(ioContext, "127.0.0.1", values["port"].as<std::uint16_t>(),
                                                    [&](const HttpRequest &request, const CallerWatchPtr &caller) {
                                                        return backend.handle(request, caller);
                                                    });
            if (!server) {
                std::cerr << server.error().message << "\n";
                return 1;
            }
            spawnFiber([&] { backend.announceLoop((*server)->port()); });
            standin::printPort("port", (*server)->port());
            standin::waitForStop(ioContext);
            backend.stop();
            (*server)->drain();
            sleepFor(ioContext, Millis(50));
            return 0;
        });
}
