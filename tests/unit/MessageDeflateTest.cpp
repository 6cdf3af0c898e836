#include "src/link/MessageDeflate.h"

#include <doctest/doctest.h>

#include <vector>

using namespace waxwing;

namespace {

constexpr std::size_t maxBytes = 200000;

/** Both ends of one direction of a link. */
struct OneDirection {
    std::string message(int number) const
    {
        return "GET /dates/" + std::to_string(number) + " host: desk.example, user-agent: client/1.9, id: 9c41d07be2a3"
               + std::to_string(number * 7919);
    }

    MessageDeflater deflater;
    MessageInflater inflater;
};

} // namespace

TEST_CASE_FIXTURE(OneDirection, "message deflate, messages of all sizes, arrive as they were sent")
{
    for (const std::size_t size : {0, 1, 3, 100, 4095, 4096, 4097, 8192, 100000}) {
        std::string message;
        for (std::size_t i = 0; i < size; ++i) {
            message.push_back(static_cast<char>((i * i * 31 + i / 7) & 0xff));
        }
        const Expected<std::string> back = inflater.inflate(deflater.deflate(message), maxBytes);
        REQUIRE(back.has_value());
        CHECK(*back == message);
    }
}

TEST_CASE_FIXTURE(OneDirection, "message deflate, messages like earlier ones, take a third of their bytes")
{
    std::size_t plain = 0;
    std::size_t sent = 0;
    for (int i = 0; i < 100; ++i) {
        const std::string frame = deflater.deflate(message(i));
        REQUIRE(inflater.inflate(frame, maxBytes).value_or("") == message(i));
        plain += message(i).size();
        sent += frame.size();
    }
    CHECK(sent * 3 < plain);
}

TEST_CASE_FIXTURE(OneDirection, "message deflate, small frame that stands for a huge message, is refused")
{
    // A peer that is none of ours sends a frame that stands for a thousand times its bytes. The node must not be
    // killed for the memory that they would take.
    const std::string frame = deflater.deflate(std::string(900000, 'x'));
    REQUIRE(frame.size() < 10000);
    CHECK_FALSE(inflater.inflate(frame, maxBytes).has_value());
}

TEST_CASE_FIXTURE(OneDirection, "message deflate, bytes that are no stream, are refused")
{
    CHECK_FALSE(inflater.inflate("\xff\xff\xff\xff not compressed", maxBytes).has_value());
}
