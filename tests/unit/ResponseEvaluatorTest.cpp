#include "src/sidecar/home/ResponseEvaluator.h"
#include "platform/Names.h"
#include "src/fiber/FiberLoop.h"
#include "src/node/NodeCore.h"
#include "src/node/PoisonService.h"
#include "src/sidecar/home/NestedCalls.h"
#include "src/sidecar/home/ServerExchange.h"
#include "src/sidecar/home/ServerMemoryGate.h"
#include "src/sidecar/home/ServerPresence.h"
#include "src/sidecar/home/SlotScheduler.h"
#include "tests/support/ManualClock.h"
#include "tests/support/ScriptedServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>

#include <deque>

using namespace waxwing;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint64_t firstProcess = 100;
constexpr std::uint64_t secondProcess = 200;
constexpr unsigned serverError = 500;
constexpr unsigned unavailable = 503;
constexpr unsigned misdirected = 421;
const Millis usualWork(200);

HttpResponse response(unsigned status, const std::string &header)
{
    return HttpResponse{status, {{header, "1"}}, "x"};
}

/** A home with a registered server, which listens but reads nothing. */
class EvaluatingHome
{
protected:
    EvaluatingHome()
    {
        REQUIRE(core_.kernel.provide("poison", poison_));
        evaluator_.setMemory(memory_);
        registerServer(firstProcess);
        for (int i = 0; i < 20; ++i) {
            queue_.addResult("read", false, usualWork, clock_.now());
        }
        work_.service = "desk";
        work_.route = "read";
    }

    NodeSettings settings() const
    {
        NodeSettings out;
        out.server = LocalServer{"desk", Endpoint{"127.0.0.1", listener_.local_endpoint().port()}};
        return out;
    }

    void registerServer(std::uint64_t incarnation)
    {
        const std::string port = std::to_string(core_.settings.server->address.port);
        const std::string body = R"({"service":"desk","address":"127.0.0.1:)" + port
                                 + R"(","zone":"z","version":"v1","slots":3,"state":"ready","sequence":1,"born":)"
                                 + std::to_string(incarnation) + "}";
        const auto reply = server_.handleCall(HttpRequest{
            "POST", std::string(platform::names::serverCalls) + "i-1/" + platform::names::heartbeatCall, {}, body});
        REQUIRE(reply);
        REQUIRE(reply->status == 200);
    }

    /** Starts a work, which holds a slot afterwards. */
    HomeJob &start()
    {
        const SteadyTime now = clock_.now();
        HomeJob &job = jobs_.emplace_back(HomeJob{
            key_, work_, std::make_shared<RunControl>(), scheduler_.nextId(), now + Millis(5000), now, {}, now});
        SlotRequest request;
        request.id = job.id;
        request.route = work_.route;
        request.retryable = true;
        request.objective = job.deadline;
        request.deadline = job.deadline;
        REQUIRE(scheduler_.submit(request, now).action == SlotAction::Start);
        return job;
    }

    /** Runs the handlers and the fibers until @p isDone, for five seconds at most. */
    bool runUntil(const std::function<bool()> &isDone)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            ioContext_.restart();
            ioContext_.run_for(Millis(1));
            boost::this_fiber::yield();
        }
        return isDone();
    }

    /** Returns true if the crash of a server that has four uploads in progress bounds the bytes for the next one. */
    bool learnsBoundAfter(const tl::expected<HttpResponse, ExchangeError> &result)
    {
        constexpr std::uint64_t uploadBytes = 100UL * 1024;
        for (std::uint64_t id = 1; id <= 4; ++id) {
            const ServerMemoryGate::Request upload{id, uploadBytes, clock_.now(), std::make_shared<RunControl>()};
            REQUIRE(memory_.admit(upload, [] {}) == ServerMemoryGate::Result::Admitted);
        }
        evaluator_.evaluate(start(), result, usualWork);
        memory_.noteReset();
        memory_.noteCrash("i-1@1");
        return core_.metrics.counter("server_memory_learned") == 1;
    }

    /** Returns how much the result of an overdue run raises the probability that the server is gray. */
    double riseAfterOverdue(const tl::expected<HttpResponse, ExchangeError> &result)
    {
        HomeJob &job = start();
        clock_.advance(10 * usualWork);
        queue_.noteOverdueWork(clock_.now());
        REQUIRE(queue_.isOverdue(job.id));
        const double before = queue_.grayProbability(clock_.now());
        evaluator_.evaluate(job, result, 10 * usualWork);
        return queue_.grayProbability(clock_.now()) - before;
    }

    boost::asio::io_context ioContext_;
    tcp::acceptor listener_{ioContext_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
    waxwing::testing::ManualClock clock_;
    NodeCore core_{ioContext_, clock_, settings(), 1, 1};
    PoisonService poison_{core_, [](const Record &) {}};
    SlotQueue queue_;
    WorkTable works_{clock_};
    NestedCalls nestedCalls_{core_, queue_};
    SlotScheduler scheduler_{core_, queue_, nestedCalls_};
    ServerPresence server_{core_, scheduler_};
    ServerMemoryGate memory_{core_};
    ResponseEvaluator evaluator_{core_, queue_, server_};
    ServerExchange exchange_{core_, queue_, server_, works_, nestedCalls_.tracker()};
    WorkKey key_{{"sender", 1}, 1};
    Work work_;
    std::deque<HomeJob> jobs_;
};

} // namespace

// Guards against a run that hung and then failed and that counts as two failures of its server.
TEST_CASE_FIXTURE(EvaluatingHome, "response evaluator, overdue run fails, counts once")
{
    SUBCASE("failure response")
    {
        CHECK(riseAfterOverdue(response(serverError, platform::names::signature)) == doctest::Approx(0.0));
    }
    SUBCASE("response without a signature")
    {
        CHECK(riseAfterOverdue(response(serverError, "X-Other")) == doctest::Approx(0.0));
    }
    SUBCASE("connection broken within the response")
    {
        CHECK(riseAfterOverdue(tl::unexpected(ExchangeError{ExchangeFailure::Truncated, true, false}))
              == doctest::Approx(0.0));
    }
    SUBCASE("connection not usable in time")
    {
        CHECK(riseAfterOverdue(tl::unexpected(ExchangeError{ExchangeFailure::Timeout, false, false}))
              == doctest::Approx(0.0));
    }
}

// Guards against ordinary failures that are ignored like those of overdue runs.
TEST_CASE_FIXTURE(EvaluatingHome, "response evaluator, run fails in its usual time, counts against the server")
{
    const double before = queue_.grayProbability(clock_.now());
    evaluator_.evaluate(start(), response(serverError, platform::names::signature), usualWork);
    CHECK(queue_.grayProbability(clock_.now()) > before);
}

// Guards against a memory bound that is never learned because the server shed a request with many bytes in progress.
TEST_CASE_FIXTURE(EvaluatingHome, "response evaluator, server did not run the request, shows nothing about its memory")
{
    SUBCASE("server shed the request")
    {
        CHECK(learnsBoundAfter(response(unavailable, platform::names::notRun)));
    }
    SUBCASE("another server answers")
    {
        CHECK(learnsBoundAfter(response(misdirected, "X-Other")));
    }
}

// Guards against a memory bound learned from a level that the server has proven to survive.
TEST_CASE_FIXTURE(EvaluatingHome, "response evaluator, server ran the request, shows that its memory suffices")
{
    CHECK_FALSE(learnsBoundAfter(response(200, platform::names::signature)));
}

// Guards against a restarted server that gets no work because the crash of its predecessor is detected late.
TEST_CASE_FIXTURE(EvaluatingHome, "response evaluator, server restarts while its crash is detected, serves")
{
    HomeJob &job = start();
    bool ended = false;
    spawnFiber([&] {
        exchange_.run(job);
        ended = true;
    });
    std::deque<tcp::socket> accepted;
    const std::function<void()> accept = [&] {
        listener_.async_accept([&](boost::system::error_code error, tcp::socket socket) {
            if (!error) {
                accepted.push_back(std::move(socket));
                accept();
            }
        });
    };
    accept();
    REQUIRE(runUntil([&] { return accepted.size() == 1; }));
    accepted.front().close();
    // The second connection is the first of the two checks whether a process listens.
    REQUIRE(runUntil([&] { return accepted.size() == 2; }));
    registerServer(secondProcess);
    listener_.close();
    REQUIRE(runUntil([&] { return ended; }));
    CHECK(job.reply.reason == "server-reset");
    CHECK(poison_.deaths(requestDigest(work_.service, work_.request)) == 1);
    REQUIRE(server_.serving() != nullptr);
    CHECK(server_.serving()->incarnation == secondProcess);
    CHECK(queue_.hasServer());
}

namespace {

/** A server that sends the first bytes of a response and then ends its connection. */
class CrashingServer : protected EvaluatingHome
{
protected:
    CrashingServer()
    {
        accept();
    }

    void accept()
    {
        listener_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (!error) {
                accepted_.push_back(std::move(socket));
                accept();
            }
        });
    }

    /** Sends a work, and @c sent in response to it, and ends the connection. Calls @p onEnd before the next event. */
    HomeJob &runWithResponse(const std::function<void()> &onEnd)
    {
        HomeJob &job = start();
        bool ended = false;
        spawnFiber([&] {
            exchange_.run(job);
            ended = true;
        });
        REQUIRE(runUntil([&] { return accepted_.size() == 1 && accepted_.front().available() > 0; }));
        tcp::socket &connection = accepted_.front();
        std::string request(connection.available(), ' ');
        boost::asio::read(connection, boost::asio::buffer(request));
        boost::asio::write(connection, boost::asio::buffer(sent_));
        if (resets_) {
            connection.set_option(boost::asio::socket_base::linger(true, 0));
        }
        connection.close();
        onEnd();
        REQUIRE(runUntil([&] { return ended; }));
        return job;
    }

    std::size_t deaths() const
    {
        return poison_.deaths(requestDigest(work_.service, work_.request));
    }

    std::deque<tcp::socket> accepted_;
    std::string sent_;
    bool resets_ = false;
};

} // namespace

// Guards against a request that crashes server after server because each one had begun to respond.
TEST_CASE_FIXTURE(CrashingServer, "response evaluator, server crashes within its response, counts against the request")
{
    SUBCASE("reset before the response")
    {
        resets_ = true;
    }
    SUBCASE("connection closed before the response")
    { }
    SUBCASE("connection closed within the headers")
    {
        sent_ = "HTTP/1.1 200 OK\r\nX-Head";
    }
    SUBCASE("connection closed within a body of known length")
    {
        sent_ = "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\npart";
    }
    SUBCASE("connection closed between two chunks")
    {
        sent_ = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
    }
    const HomeJob &job = runWithResponse([this] { listener_.close(); });
    CHECK(job.reply.outcome == Outcome::Unknown);
    CHECK(deaths() == 1);
    CHECK(server_.serving() == nullptr);
}

// Guards against a part of a response that its caller takes for the whole one.
TEST_CASE_FIXTURE(CrashingServer, "response evaluator, response without a length, ends with its server or is passed on")
{
    sent_ = std::string("HTTP/1.1 200 OK\r\n") + platform::names::signature + ": seal\r\n\r\npart";
    SUBCASE("server has ended")
    {
        const HomeJob &job = runWithResponse([this] { listener_.close(); });
        CHECK(job.reply.outcome == Outcome::Unknown);
        CHECK(deaths() == 1);
    }
    SUBCASE("server ends after its connection")
    {
        const HomeJob &job = runWithResponse([] {});
        CHECK(job.reply.outcome == Outcome::Ran);
        CHECK(job.reply.response.isCloseDelimited);
        listener_.close();
        CHECK(runUntil([this] { return deaths() == 1; }));
        CHECK(server_.serving() == nullptr);
    }
    SUBCASE("server lives")
    {
        poison_.noteDeath(requestDigest(work_.service, work_.request), "i-9@1");
        const HomeJob &job = runWithResponse([] {});
        CHECK(job.reply.outcome == Outcome::Ran);
        CHECK(job.reply.response.isCloseDelimited);
        CHECK(deaths() == 1);
        CHECK(runUntil([this] { return deaths() == 0; }));
    }
}

// Guards against a request that is refused because a server that lives on sends truncated responses.
TEST_CASE_FIXTURE(CrashingServer, "response evaluator, server truncates its response and lives, is no crash")
{
    sent_ = "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\npart";
    const HomeJob &job = runWithResponse([] {});
    CHECK(job.reply.reason == "server-cut");
    CHECK(deaths() == 0);
    CHECK(server_.serving() != nullptr);
}

// Guards against a crash that is missed because the server is back before its port is found closed.
TEST_CASE_FIXTURE(CrashingServer, "response evaluator, server restarts at once, counts against the request")
{
    sent_ = "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\npart";
    SUBCASE("registers during the check")
    {
        runWithResponse([this] { registerServer(secondProcess); });
    }
    SUBCASE("registers after the check")
    {
        runWithResponse([] {});
        REQUIRE(deaths() == 0);
        registerServer(secondProcess);
    }
    CHECK(deaths() == 1);
    REQUIRE(server_.serving() != nullptr);
    CHECK(server_.serving()->incarnation == secondProcess);
}

// Guards against requests that are refused because servers were replaced while they ran.
TEST_CASE_FIXTURE(CrashingServer, "response evaluator, server that has given notice ends, is no crash")
{
    const HomeJob &job = runWithResponse([this] {
        const std::string target = std::string(platform::names::serverCalls) + "i-1/" + platform::names::leaveCall;
        REQUIRE(server_.handleCall(HttpRequest{"POST", target, {}, R"({"born":100})"})->status == 200);
        listener_.close();
    });
    CHECK(job.reply.outcome == Outcome::Unknown);
    CHECK(deaths() == 0);
}

// Guards against a suspicion that outlives the proof that the request does not crash servers.
TEST_CASE_FIXTURE(EvaluatingHome, "response evaluator, suspected request completes, is cleared")
{
    poison_.noteDeath(requestDigest(work_.service, work_.request), "i-9@1");
    SUBCASE("success")
    {
        evaluator_.evaluate(start(), response(200, platform::names::signature), usualWork);
        CHECK(poison_.deaths(requestDigest(work_.service, work_.request)) == 0);
    }
    SUBCASE("failure response")
    {
        evaluator_.evaluate(start(), response(serverError, platform::names::signature), usualWork);
        CHECK(poison_.deaths(requestDigest(work_.service, work_.request)) == 0);
    }
    SUBCASE("not run")
    {
        evaluator_.evaluate(start(), response(unavailable, platform::names::notRun), usualWork);
        CHECK(poison_.deaths(requestDigest(work_.service, work_.request)) == 1);
    }
}

// Guards against an unsafe request that is reported as not run although it runs, and is then sent again.
TEST_CASE_FIXTURE(EvaluatingHome,
                  "server exchange, late copy of a rejection, is not taken for the second send's response")
{
    const std::string id = "booking-1";
    const std::string rejection = waxwing::testing::responseText(
        unavailable, {{platform::names::requestId, id}, {platform::names::notRun, "1"}}, "");
    const std::string success = waxwing::testing::responseText(
        200, {{platform::names::requestId, id}, {platform::names::signature, "seal"}}, "booked");
    int arrivals = 0;
    const waxwing::testing::ScriptedServer server(
        listener_, [&](waxwing::testing::ScriptedServer::Connection &connection, const HttpRequest &) {
            ++arrivals;
            // The copy arrives late on the connection of the first send, while the second send runs.
            const std::string late = arrivals > 1 && connection.requests > 1 ? rejection : "";
            return arrivals == 1 ? rejection : late + success;
        });
    work_.request = HttpRequest{"POST", "/seats/1", {{platform::names::requestId, id}}, "seat=4"};
    const auto send = [&] {
        HomeJob &job = start();
        bool ended = false;
        spawnFiber([&] {
            exchange_.run(job);
            ended = true;
        });
        REQUIRE(runUntil([&] { return ended; }));
        return job.reply;
    };
    CHECK(send().outcome == Outcome::NotRun);
    const WorkReply second = send();
    CHECK(arrivals == 2);
    CHECK(second.outcome == Outcome::Ran);
    CHECK(second.response.body == "booked");
}
