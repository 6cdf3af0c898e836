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

TEST_CASE_FIXTURE(OneDirection, "message deflate, messages of all sizes, are restored unchanged")
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

TEST_CASE_FIXTURE(OneDirection, "message deflate, messages similar to earlier ones, shrink to a third")
{
    std::size_t originalBytes = 0;
    std::size_t compressedBytes = 0;
    for (int i = 0; i < 100; ++i) {
        const std::string frame = deflater.deflate(message(i));
        REQUIRE(inflater.inflate(frame, maxBytes).value_or("") == message(i));
        originalBytes += message(i).size();
        compressedBytes += frame.size();
    }
    CHECK(compressedBytes * 3 < originalBytes);
}

TEST_CASE_FIXTURE(OneDirection, "message deflate, small frame that expands to a huge message, is rejected")
{
    // Guards against a peer outside the fleet that sends a frame which expands to a thousand times its size: the node
    // would be killed for its memory use.
    const std::string frame = deflater.deflate(std::string(900000, 'x'));
    REQUIRE(frame.size() < 10000);
    CHECK_FALSE(inflater.inflate(frame, maxBytes).has_value());
}

TEST_CASE_FIXTURE(OneDirection, "message deflate, bytes that are not a deflate stream, are rejected")
{
    CHECK_FALSE(inflater.inflate("\xff\xff\xff\xff not compressed", maxBytes).has_value());
}
