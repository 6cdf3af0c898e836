#include "include/fleet/RttEstimator.h"
#include "src/link/LinkFramer.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <vector>

using namespace waxwing;

namespace {

/** Both ends of a link; frames lie in queues until they are delivered. */
struct TwoEnds {
    bool send(Message message)
    {
        return home.send(std::move(message), [this](const std::string &frame) {
            toSender.push_back(frame);
            return true;
        });
    }

    /** Delivers one frame to the sender, and unless @p silent its acknowledgement back. */
    std::optional<Message> deliver(bool silent = false)
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
            if (!silent) {
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
        for (std::size_t i = 0; i < bytes; ++i) {
            reply.response.body.push_back(static_cast<char>((i * i * 31 + i / 7 + id) & 0xff));
        }
        return reply;
    }

    LinkFramer home;
    LinkFramer sender;
    std::deque<std::string> toSender;
};

constexpr Duration near = std::chrono::milliseconds(150);

} // namespace

TEST_CASE_FIXTURE(TwoEnds, "link framer, a small message behind large answers, waits for a few parts only")
{
    // A receipt waited behind whole benchmark packs on a 13 Mbit/s link, came 200 ms late, and a path that only was
    // busy was taken for broken.
    REQUIRE(send(replyOf(1, 200000)));
    REQUIRE(send(replyOf(2, 200000)));
    REQUIRE(send(WorkAck{3, {}}));
    std::size_t before = 0;
    while (true) {
        before += toSender.front().size();
        const std::optional<Message> message = deliver(true);
        if (message) {
            CHECK(std::holds_alternative<WorkAck>(*message));
            break;
        }
    }
    CHECK(before < 64UL * 1024);
}

TEST_CASE_FIXTURE(TwoEnds, "link framer, large answers, arrive whole and in the order in which they were sent")
{
    const std::vector<std::size_t> sizes = {0, 1, 16384, 16385, 32768, 90000, 540000};
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        REQUIRE(send(replyOf(i, sizes[i])));
    }
    std::map<std::uint64_t, WorkReply> came;
    while (!toSender.empty()) {
        if (const std::optional<Message> message = deliver()) {
            const auto *reply = std::get_if<WorkReply>(&*message);
            REQUIRE(reply != nullptr);
            came[reply->id] = *reply;
        }
    }
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        CHECK(came[i].response.status == 206);
        CHECK(came[i].response.body == replyOf(i, sizes[i]).response.body);
    }
    CHECK(home.queuedBytes() == 0);
}

TEST_CASE_FIXTURE(TwoEnds, "link framer, an end that acknowledges nothing, holds back all but a few parts")
{
    REQUIRE(send(replyOf(1, 500000)));
    std::size_t sent = 0;
    for (const std::string &frame : toSender) {
        sent += frame.size();
    }
    CHECK(sent < 64UL * 1024);
    CHECK(home.queuedBytes() > 400000);
}

TEST_CASE_FIXTURE(TwoEnds, "link framer, frames that no peer writes, are malformed")
{
    const auto nothing = [](const std::string &) { return true; };
    CHECK_FALSE(sender.receive("", nothing).has_value());
    CHECK_FALSE(sender.receive("\x09", nothing).has_value());
    CHECK_FALSE(sender.receive("\x03", nothing).has_value());
    CHECK_FALSE(sender.receive(std::string(1, '\0') + "garbage", nothing).has_value());
}

TEST_CASE_FIXTURE(TwoEnds, "link framer, parts without end, are refused")
{
    const std::string part = std::string(1, '\x01') + std::string(1024UL * 1024, 'x');
    const auto nothing = [](const std::string &) { return true; };
    bool refused = false;
    for (int i = 0; i < 10 && !refused; ++i) {
        refused = !sender.receive(part, nothing).has_value();
    }
    CHECK(refused);
}

TEST_CASE("round trip, a path of which nothing is known, is given what a healthy one may take")
{
    CHECK(RttEstimator().timeout(near) == near);
}

TEST_CASE("round trip, a quiet path, is in doubt as soon as any other")
{
    RttEstimator trip;
    for (int i = 0; i < 50; ++i) {
        trip.add(std::chrono::milliseconds(3 + i % 2));
    }
    CHECK(trip.timeout(near) == near);
}

TEST_CASE("round trip, a path to a busy node, is given the time that its answers take")
{
    // Receipts of a node with a tenth of a core came 100 to 400 ms after the Work. With 200 ms for every path thirty
    // sound paths a second were taken for broken, and each was tried by the whole region.
    RttEstimator trip;
    for (int i = 0; i < 50; ++i) {
        trip.add(std::chrono::milliseconds(100 + 300 * (i % 2)));
    }
    CHECK(trip.timeout(near) > std::chrono::milliseconds(400));
    CHECK(trip.timeout(near) <= std::chrono::milliseconds(1500));
}

TEST_CASE("round trip, a false alarm, doubles the timeout until an answer is measured")
{
    RttEstimator trip;
    trip.add(std::chrono::milliseconds(3));
    trip.noteSpuriousTimeout();
    CHECK(trip.timeout(near) == 2 * near);
    trip.noteSpuriousTimeout();
    CHECK(trip.timeout(near) == 4 * near);
    trip.add(std::chrono::milliseconds(3));
    CHECK(trip.timeout(near) == near);
}

TEST_CASE("round trip, an answer that a cut held up for seconds, does not hide the next cut")
{
    RttEstimator trip;
    for (int i = 0; i < 20; ++i) {
        trip.add(std::chrono::milliseconds(3));
    }
    trip.add(std::chrono::seconds(5));
    CHECK(trip.timeout(near) < std::chrono::milliseconds(800));
    for (int i = 0; i < 12; ++i) {
        trip.add(std::chrono::milliseconds(3));
    }
    CHECK(trip.timeout(near) == near);
}
