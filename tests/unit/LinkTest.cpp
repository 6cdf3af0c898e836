#include "include/fleet/RttEstimator.h"
#include "src/link/LinkFramer.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <vector>

using namespace waxwing;

namespace {

/** Both ends of a link; frames are queued until they are delivered. */
struct TwoEnds {
    bool send(Message message)
    {
        return home.send(std::move(message), [this](const std::string &frame) {
            toSender.push_back(frame);
            return true;
        });
    }

    /** Delivers one frame to the sender and, unless @p dropAcks, its acknowledgements to the home. */
    std::optional<Message> deliver(bool dropAcks = false)
    {
        const std::string frame = toSender.front();
        toSender.pop_front();
        std::deque<std::string> back;
        const auto message = sender.receive(frame, [&](const std::string &one) {
            back.push_back(one);
            return true;
        });
        REQUIRE(message.has_value());
        for (const std::string &one : back) {
            if (!dropAcks) {
                REQUIRE(home.receive(one,
                                     [this](const std::string &next) {
                                         toSender.push_back(next);
                                         return true;
                                     })
                            .has_value());
            }
        }
        return *message;
    }

    static WorkReply replyOf(std::uint64_t id, std::size_t bytes)
    {
        WorkReply reply;
        reply.id = id;
        reply.outcome = Outcome::Ran;
        reply.response.status = 206;
        std::string body;
        for (std::size_t i = 0; i < bytes; ++i) {
            body.push_back(static_cast<char>((i * i * 31 + i / 7 + id) & 0xff));
        }
        reply.response.body = body;
        return reply;
    }

    LinkFramer home;
    LinkFramer sender;
    std::deque<std::string> toSender;
};

constexpr Duration minTimeout = std::chrono::milliseconds(150);

} // namespace

TEST_CASE_FIXTURE(TwoEnds, "link framer, small message behind large responses, waits for a few chunks only")
{
    // Guards against an acknowledgement that waits behind whole large responses: on a 13 Mbit/s link it arrived 200 ms
    // late, and a path that was only busy was treated as failed.
    REQUIRE(send(replyOf(1, 200000)));
    REQUIRE(send(replyOf(2, 200000)));
    REQUIRE(send(WorkAck{3, {}}));
    std::size_t bytesBefore = 0;
    while (true) {
        bytesBefore += toSender.front().size();
        const std::optional<Message> message = deliver(true);
        if (message) {
            CHECK(std::holds_alternative<WorkAck>(*message));
            break;
        }
    }
    CHECK(bytesBefore < 64UL * 1024);
}

TEST_CASE_FIXTURE(TwoEnds, "link framer, large responses, arrive complete and in sending order")
{
    const std::vector<std::size_t> sizes = {0, 1, 16384, 16385, 32768, 90000, 540000};
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        REQUIRE(send(replyOf(i, sizes[i])));
    }
    std::map<std::uint64_t, WorkReply> received;
    while (!toSender.empty()) {
        if (const std::optional<Message> message = deliver()) {
            const auto *reply = std::get_if<WorkReply>(&*message);
            REQUIRE(reply != nullptr);
            received[reply->id] = *reply;
        }
    }
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        CHECK(received[i].response.status == 206);
        CHECK(received[i].response.body == replyOf(i, sizes[i]).response.body);
    }
    CHECK(home.queuedBytes() == 0);
}

TEST_CASE_FIXTURE(TwoEnds, "link framer, peer that acknowledges nothing, is sent a few chunks only")
{
    REQUIRE(send(replyOf(1, 500000)));
    std::size_t sent = 0;
    for (const std::string &frame : toSender) {
        sent += frame.size();
    }
    CHECK(sent < 64UL * 1024);
    CHECK(home.queuedBytes() > 400000);
}

TEST_CASE_FIXTURE(TwoEnds, "link framer, invalid frames, are malformed")
{
    const auto discardFrame = [](const std::string &) { return true; };
    CHECK_FALSE(sender.receive("", discardFrame).has_value());
    CHECK_FALSE(sender.receive("\x09", discardFrame).has_value());
    CHECK_FALSE(sender.receive("\x03", discardFrame).has_value());
    CHECK_FALSE(sender.receive(std::string(1, '\0') + "garbage", discardFrame).has_value());
}

TEST_CASE_FIXTURE(TwoEnds, "link framer, chunks without end, are rejected")
{
    const std::string chunk = std::string(1, '\x01') + std::string(1024UL * 1024, 'x');
    const auto discardFrame = [](const std::string &) { return true; };
    bool rejected = false;
    for (int i = 0; i < 10 && !rejected; ++i) {
        rejected = !sender.receive(chunk, discardFrame).has_value();
    }
    CHECK(rejected);
}

TEST_CASE("RTT estimator, no samples, returns the minimum timeout")
{
    CHECK(RttEstimator().timeout(minTimeout) == minTimeout);
}

TEST_CASE("RTT estimator, short and steady round trips, returns the minimum timeout")
{
    RttEstimator estimator;
    for (int i = 0; i < 50; ++i) {
        estimator.add(std::chrono::milliseconds(3 + i % 2));
    }
    CHECK(estimator.timeout(minTimeout) == minTimeout);
}

TEST_CASE("RTT estimator, path to a busy node, returns a timeout above its round trips")
{
    // Guards against one timeout for all paths: acknowledgements from a node with a tenth of a core arrived 100 to 400
    // ms after the Work. With a timeout of 200 ms, thirty healthy paths a second were treated as failed, and the whole
    // region probed each of them.
    RttEstimator estimator;
    for (int i = 0; i < 50; ++i) {
        estimator.add(std::chrono::milliseconds(100 + 300 * (i % 2)));
    }
    CHECK(estimator.timeout(minTimeout) > std::chrono::milliseconds(400));
    CHECK(estimator.timeout(minTimeout) <= std::chrono::milliseconds(1500));
}

TEST_CASE("RTT estimator, spurious timeout, doubles the timeout until the next sample")
{
    RttEstimator estimator;
    estimator.add(std::chrono::milliseconds(3));
    estimator.noteSpuriousTimeout();
    CHECK(estimator.timeout(minTimeout) == 2 * minTimeout);
    estimator.noteSpuriousTimeout();
    CHECK(estimator.timeout(minTimeout) == 4 * minTimeout);
    estimator.add(std::chrono::milliseconds(3));
    CHECK(estimator.timeout(minTimeout) == minTimeout);
}

TEST_CASE("RTT estimator, sample delayed for seconds by a network cut, does not hide the next cut")
{
    RttEstimator estimator;
    for (int i = 0; i < 20; ++i) {
        estimator.add(std::chrono::milliseconds(3));
    }
    estimator.add(std::chrono::seconds(5));
    CHECK(estimator.timeout(minTimeout) < std::chrono::milliseconds(800));
    for (int i = 0; i < 12; ++i) {
        estimator.add(std::chrono::milliseconds(3));
    }
    CHECK(estimator.timeout(minTimeout) == minTimeout);
}
