/**
 * Stand-in for a backend server on the platform: sends heartbeats to the node beside it, runs requests in slots, signs
 * its responses, and records every execution in a ledger. On demand it fails gray, sheds a part of its requests, cuts
 * or resets its responses, leaves out the signature, names another request in them, or ends when the bodies of the
 * requests that it holds exceed its memory, or sends responses without a length. A path that ends in "bytes-N" gets a
 * response of N bytes.
 */
#include "platform/Names.h"
#include "src/http/HttpClient.h"
#include "src/http/HttpServer.h"
#include "tests/standins/StandinMain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <limits>

namespace {

using namespace waxwing;
using nlohmann::json;
namespace names = platform::names;

constexpr Millis heartbeatTimeout{1000};
const std::string poisonMarker = "ends-the-server";
/** A path with this marker and a number gets a response body of that many bytes. */
const std::string sizeMarker = "bytes-";
constexpr Millis crashDelay{20};
constexpr std::uint64_t maxBodyBytes = 64UL * 1024 * 1024;

struct Options {
    std::string service;
    std::string id;
    std::string ledger;
    Endpoint control;
    Millis work{20};
    Millis heartbeatInterval{300};
    std::uint32_t slots = 3;
    /** Port at which the node reaches the server; 0: the one that it serves on. */
    std::uint16_t announcedPort = 0;
};

class Server
{
public:
    Server(boost::asio::io_context &ioContext, Options options)
        : ioContext_(ioContext)
        , client_(ioContext)
        , options_(std::move(options))
        , startedAt_(millisOf(std::chrono::system_clock::now().time_since_epoch()).count())
        , ledger_(options_.ledger, std::ios::app)
    { }

    HttpReply handle(const HttpRequest &request, const CallerWatchPtr &caller)
    {
        if (request.target == "/_mode") {
            mode_ = json::parse(request.body, nullptr, false);
            return HttpReply{jsonResponse(200, "{}"), AfterResponse::KeepOpen};
        }
        if (headerValue(request.headers, names::expectedServer) != options_.id) {
            return notRun(request, 421);
        }
        return running_ >= options_.slots || isShed() ? notRun(request, 503) : work(request, caller);
    }

    void heartbeatLoop(std::uint16_t port)
    {
        announcedPort_ = options_.announcedPort != 0 ? options_.announcedPort : port;
        while (!stopping_) {
            heartbeat("ready");
            sleepFor(ioContext_, options_.heartbeatInterval);
        }
    }

    /** Drains as the platform requires: announces it, serves for a while longer, then deregisters. */
    void stop()
    {
        stopping_ = true;
        heartbeat("draining");
        sleepFor(ioContext_, Millis(300));
        call(names::leaveCall, json{{"born", startedAt_}});
    }

private:
    /** Spreads the requests that are shed evenly over those that arrive. */
    bool isShed()
    {
        const std::uint64_t percent = mode_.is_object() ? mode_.value("shedPercent", 0U) : 0;
        const std::uint64_t before = arrivals_++ * percent / 100;
        return arrivals_ * percent / 100 > before;
    }

    static std::string bodyFor(const HttpRequest &request, const std::string &id)
    {
        std::string body = "whole answer to " + id;
        const std::size_t marker = request.target.find(sizeMarker);
        if (marker != std::string::npos) {
            body.resize(std::max(body.size(), std::stoul(request.target.substr(marker + sizeMarker.size()))), '.');
        }
        return body;
    }

    static HttpReply notRun(const HttpRequest &request, unsigned status)
    {
        HttpReply reply{jsonResponse(status, "{}"), AfterResponse::KeepOpen};
        reply.response.headers.emplace_back(names::requestId,
                                            std::string(headerValue(request.headers, names::requestId)));
        reply.response.headers.emplace_back(names::notRun, "1");
        return reply;
    }

    void call(const std::string &what, const json &body)
    {
        const std::string target = std::string(names::serverCalls) + options_.id + "/" + what;
        (void)client_.exchange(options_.control, HttpRequest{"POST", target, {}, body.dump()}, heartbeatTimeout);
    }

    void heartbeat(const std::string &state)
    {
        call(names::heartbeatCall, json{{"service", options_.service},
                                        {"address", "127.0.0.1:" + std::to_string(announcedPort_)},
                                        {"zone", "z"},
                                        {"version", "v1"},
                                        {"slots", options_.slots},
                                        {"state", state},
                                        {"cold_remaining_ms", 0},
                                        {"sequence", ++sequence_},
                                        {"born", startedAt_}});
    }

    HttpReply work(const HttpRequest &request, const CallerWatchPtr &caller)
    {
        const std::string id(headerValue(request.headers, names::requestId));
        const bool sawKey = !headerValue(request.headers, names::credential).empty();
        const std::string customer = sawKey ? "!" : std::string(headerValue(request.headers, names::customer));
        ledger_ << id << " " << millisOf(std::chrono::system_clock::now().time_since_epoch()).count() << " "
                << headerValue(request.headers, names::callerService) << " " << customer << "\n"
                << std::flush;
        const std::string mode = mode_.is_object() ? mode_.value("mode", "ok") : "ok";
        const Millis workTime(mode_.is_object() ? mode_.value("workMs", options_.work.count()) : options_.work.count());
        if (mode_.is_object() && mode_.value("onlyFirst", false)) {
            mode_ = json();
        }
        HttpReply reply{jsonResponse(200, bodyFor(request, id)), AfterResponse::KeepOpen};
        reply.response.headers.emplace_back(names::signature, "seal-" + options_.id);
        reply.response.headers.emplace_back(names::requestId, id);
        if (request.target.find(poisonMarker) != std::string::npos) {
            // A crashing process closes its sockets one after the other: the connection first, then the listener.
            spawnFiber([this] {
                sleepFor(ioContext_, crashDelay);
                std::_Exit(9);
            });
            reply.after = AfterResponse::Reset;
            return reply;
        }
        if (mode == "errors") {
            reply.response.status = 500;
            return reply;
        }
        ++running_;
        heldBytes_ += request.body.size();
        if (mode_.is_object() && heldBytes_ > mode_.value("memoryBytes", std::numeric_limits<std::size_t>::max())) {
            std::_Exit(9);
        }
        boost::asio::steady_timer timer(ioContext_, workTime);
        caller->onDisconnect = [&timer] { timer.cancel(); };
        await([&](auto handle) { timer.async_wait(std::move(handle)); });
        caller->onDisconnect = {};
        --running_;
        heldBytes_ -= request.body.size();
        if (mode == "cut") {
            reply.after = AfterResponse::TruncateBody;
        } else if (mode == "reset") {
            reply.after = AfterResponse::Reset;
        } else if (mode == "without-length") {
            reply.response.isCloseDelimited = true;
        } else if (mode == "unsigned") {
            reply.response.headers.erase(reply.response.headers.begin() + 1);
        } else if (mode == "other-id") {
            reply.response.headers.back().second = "of-another-request";
        }
        return reply;
    }

    boost::asio::io_context &ioContext_;
    HttpClient client_;
    Options options_;
    std::int64_t startedAt_;
    std::ofstream ledger_;
    json mode_;
    std::uint64_t sequence_ = 0;
    std::uint16_t announcedPort_ = 0;
    std::uint32_t running_ = 0;
    /** Bytes of the bodies of the requests in progress. */
    std::size_t heldBytes_ = 0;
    std::uint64_t arrivals_ = 0;
    bool stopping_ = false;
};

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("stand-in for a backend server on the platform");
    // clang-format off
    options.add_options()
        ("service", po::value<std::string>()->required(), "service name")
        ("id", po::value<std::string>()->required(), "server id")
        ("control", po::value<std::string>()->required(), "control endpoint of the node beside it")
        ("ledger", po::value<std::string>()->required(), "file to append executions to")
        ("announced-port", po::value<std::uint16_t>()->default_value(0), "port to announce; 0: the one served on")
        ("slots", po::value<std::uint32_t>()->default_value(3), "requests that run at once")
        ("work-ms", po::value<int>()->default_value(20), "time that a request takes")
        ("port", po::value<std::uint16_t>()->required(), "port to serve on");
    // clang-format on
    return standin::runStandin(
        argc, argv, options, [](boost::asio::io_context &ioContext, const po::variables_map &values) {
            Findings findings;
            Options parsed;
            parsed.service = values["service"].as<std::string>();
            parsed.id = values["id"].as<std::string>();
            parsed.control = parseEndpoint(values["control"].as<std::string>(), "--control", findings);
            parsed.ledger = values["ledger"].as<std::string>();
            parsed.announcedPort = values["announced-port"].as<std::uint16_t>();
            parsed.slots = values["slots"].as<std::uint32_t>();
            parsed.work = Millis(values["work-ms"].as<int>());
            if (!findings.empty()) {
                std::cerr << findings.text();
                return 2;
            }
            Server server(ioContext, parsed);
            HttpLimits limits;
            limits.bodyBytes = maxBodyBytes;
            auto http = HttpServer::MakeListening(
                ioContext, "127.0.0.1", values["port"].as<std::uint16_t>(),
                [&](const HttpRequest &request, const CallerWatchPtr &caller) {
                    return server.handle(request, caller);
                },
                limits);
            if (!http) {
                std::cerr << http.error().message << "\n";
                return 1;
            }
            spawnFiber([&] { server.heartbeatLoop((*http)->port()); });
            standin::printPort("port", (*http)->port());
            standin::waitForStop(ioContext);
            server.stop();
            return 0;
        });
}
