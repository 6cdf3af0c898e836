/**
 * TCP proxy that injects faults between two processes: delay, traffic held in one direction, reset, truncation after
 * some bytes, a freeze of all open connections, a bandwidth limit, and bytes that it sends in place of the target's.
 * Faults are set at run time over a control port.
 */
#include "include/settings/NodeSettings.h"
#include "src/http/HttpServer.h"
#include "tests/standins/StandinMain.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <list>

namespace {

using namespace waxwing;
using nlohmann::json;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t bufferBytes = 16UL * 1024;
constexpr Millis holdPollInterval{5};
/** The caller has read a reply before its connection is reset. */
constexpr Millis resetDelay{5};

/** Faults of one direction. */
struct Faults {
    std::int64_t delayMs = 0;
    /** Holds bytes back, as a one-way network cut does, and sends them when this is set to false. */
    bool hold = false;
    /** Bytes per second; 0: no limit. */
    std::int64_t bytesPerSecond = 0;
    /** Resets the connection after this many further bytes, counted over all connections; -1: never. */
    std::int64_t cutAfter = -1;
};

/** What new connections get in place of the target's response. */
struct Reply {
    /** Sent once the headers of a request have arrived; empty: requests are forwarded. */
    std::string bytes;
    /** Resets the connection after these bytes; otherwise only its sending side is closed. */
    bool reset = false;
};

class Proxy
{
public:
    Proxy(boost::asio::io_context &ioContext, Endpoint target)
        : ioContext_(ioContext)
        , acceptor_(ioContext, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , target_(std::move(target))
    { }

    std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

    void setTarget(const Endpoint &target)
    {
        target_ = target;
    }

    void acceptLoop()
    {
        while (true) {
            auto pair = std::make_shared<Pair>(ioContext_);
            const IoResult accepted =
                await([&](auto handle) { acceptor_.async_accept(pair->caller, std::move(handle)); });
            if (accepted.error) {
                return;
            }
            pairs_.push_back(pair);
            spawnFiber([this, pair] { serve(pair); });
        }
    }

    HttpReply control(const HttpRequest &request)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (request.target != "/_fault" || !body.is_object()) {
            return HttpReply{jsonResponse(400, "{\"error\":\"POST /_fault\"}"), AfterResponse::KeepOpen};
        }
        read(body.value("toTarget", json::object()), toTarget_);
        read(body.value("fromTarget", json::object()), fromTarget_);
        if (body.contains("silenceOpen")) {
            for (const auto &pair : pairs_) {
                pair->frozen = body["silenceOpen"].get<bool>();
            }
        }
        if (body.value("reset", false)) {
            for (const auto &pair : pairs_) {
                reset(*pair);
            }
        }
        if (body.contains("reply")) {
            reply_ = Reply{body["reply"].value("bytes", ""), body["reply"].value("reset", false)};
        }
        if (body.contains("target")) {
            Findings ignored;
            target_ = parseEndpoint(body["target"].get<std::string>(), "", ignored);
        }
        return HttpReply{jsonResponse(200, "{}"), AfterResponse::KeepOpen};
    }

private:
    struct Pair {
        explicit Pair(boost::asio::io_context &ioContext)
            : caller(ioContext)
            , target(ioContext)
        { }
        tcp::socket caller;
        tcp::socket target;
        /** Holds the bytes of both directions; connections opened later are not affected. */
        bool frozen = false;
        int pumps = 2;
    };

    static void read(const json &value, Faults &faults)
    {
        faults.delayMs = value.value("delayMs", faults.delayMs);
        faults.hold = value.value("hold", faults.hold);
        faults.bytesPerSecond = value.value("bytesPerSecond", faults.bytesPerSecond);
        faults.cutAfter = value.value("cutAfter", faults.cutAfter);
    }

    static void reset(Pair &pair)
    {
        boost::system::error_code ignored;
        for (tcp::socket *socket : {&pair.caller, &pair.target}) {
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    /** Sends the reply that is set once the headers of a request have arrived, and ends the connection. */
    void respond(const std::shared_ptr<Pair> &pair)
    {
        const Reply reply = reply_;
        std::string received;
        IoResult result = await([&](auto handle) {
            boost::asio::async_read_until(pair->caller, boost::asio::dynamic_buffer(received), "\r\n\r\n",
                                          std::move(handle));
        });
        if (!result.error) {
            result = await([&](auto handle) {
                boost::asio::async_write(pair->caller, boost::asio::buffer(reply.bytes), std::move(handle));
            });
        }
        if (reply.reset) {
            sleepFor(ioContext_, resetDelay);
            reset(*pair);
        } else {
            boost::system::error_code ignored;
            pair->caller.shutdown(tcp::socket::shutdown_send, ignored);
        }
        std::array<char, bufferBytes> buffer{};
        while (!result.error) {
            result = await(
                [&](auto handle) { pair->caller.async_read_some(boost::asio::buffer(buffer), std::move(handle)); });
        }
        pairs_.remove(pair);
    }

    void serve(const std::shared_ptr<Pair> &pair)
    {
        if (!reply_.bytes.empty()) {
            respond(pair);
            return;
        }
        const tcp::endpoint endpoint(boost::asio::ip::make_address(target_.address), target_.port);
        const IoResult connected = await([&](auto handle) { pair->target.async_connect(endpoint, std::move(handle)); });
        if (connected.error) {
            reset(*pair);
            pairs_.remove(pair);
            return;
        }
        boost::system::error_code ignored;
        pair->caller.set_option(tcp::no_delay(true), ignored);
        pair->target.set_option(tcp::no_delay(true), ignored);
        spawnFiber([this, pair] { pump(pair, pair->caller, pair->target, toTarget_); });
        pump(pair, pair->target, pair->caller, fromTarget_);
    }

    void pump(const std::shared_ptr<Pair> &pair, tcp::socket &from, tcp::socket &to, Faults &faults)
    {
        std::array<char, bufferBytes> buffer{};
        while (true) {
            const std::size_t maxBytes =
                faults.bytesPerSecond > 0 ? std::min<std::size_t>(
                    bufferBytes, static_cast<std::size_t>(std::max<std::int64_t>(1, faults.bytesPerSecond / 50)))
                                          : bufferBytes;
            const IoResult received = await([&](auto handle) {
                from.async_read_some(boost::asio::buffer(buffer.data(), maxBytes), std::move(handle));
            });
            if (received.error) {
                break;
            }
            std::size_t bytes = received.bytes;
            delay(faults, *pair, bytes);
            const bool cut = faults.cutAfter >= 0 && static_cast<std::int64_t>(bytes) >= faults.cutAfter;
            if (cut) {
                bytes = static_cast<std::size_t>(faults.cutAfter);
            }
            const IoResult sent = await([&](auto handle) {
                boost::asio::async_write(to, boost::asio::buffer(buffer.data(), bytes), std::move(handle));
            });
            if (cut) {
                reset(*pair);
            } else if (faults.cutAfter > 0) {
                faults.cutAfter -= static_cast<std::int64_t>(bytes);
            }
            if (sent.error || cut) {
                break;
            }
        }
        boost::system::error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        if (--pair->pumps == 0) {
            pairs_.remove(pair);
        }
    }

    void delay(const Faults &faults, const Pair &pair, std::size_t bytes)
    {
        if (faults.delayMs > 0) {
            sleepFor(ioContext_, Millis(faults.delayMs));
        }
        if (faults.bytesPerSecond > 0) {
            sleepFor(ioContext_, Millis(1000 * static_cast<std::int64_t>(bytes) / faults.bytesPerSecond));
        }
        while (faults.hold || pair.frozen) {
            sleepFor(ioContext_, holdPollInterval);
        }
    }

    boost::asio::io_context &ioContext_;
    tcp::acceptor acceptor_;
    Endpoint target_;
    Faults toTarget_;
    Faults fromTarget_;
    Reply reply_;
    std::list<std::shared_ptr<Pair>> pairs_;
};

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("TCP proxy that injects faults");
    options.add_options()("target", po::value<std::string>()->default_value("127.0.0.1:1"),
                          "endpoint to which connections are forwarded");
    return standin::runStandin(
        argc, argv, options, [](boost::asio::io_context &ioContext, const po::variables_map &values) {
            Findings findings;
            const Endpoint target = parseEndpoint(values["target"].as<std::string>(), "--target", findings);
            if (!findings.empty()) {
                std::cerr << findings.text();
                return 2;
            }
            Proxy proxy(ioContext, target);
            auto control = HttpServer::MakeListening(
                ioContext, "127.0.0.1", 0,
                [&](const HttpRequest &request, const CallerWatchPtr &) { return proxy.control(request); });
            if (!control) {
                std::cerr << control.error().message << "\n";
                return 1;
            }
            spawnFiber([&] { proxy.acceptLoop(); });
            standin::printPort("port", proxy.port());
            standin::printPort("control", (*control)->port());
            standin::waitForStop(ioContext);
            return 0;
        });
}
