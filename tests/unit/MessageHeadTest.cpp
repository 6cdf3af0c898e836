#include "src/http/MessageHead.h"

#include <doctest/doctest.h>

#include <string>

using namespace waxwing;

namespace {

struct Head {
    std::string bytes;
    bool isFolded;
};

const std::string startLine = "HTTP/1.1 200 X\r\n";

const Head heads[] = {
    {startLine + "\r\n", false},
    {startLine + "A: b\r\nC:  d \r\n\r\n", false},
    {startLine + "A: b\t\r\n\r\n", false},
    {startLine + "A:\r\n\r\n", false},
    {startLine + "A: b\r\n c\r\n\r\n", true},
    {startLine + "A: b\r\n\tc\r\n\r\n", true},
    {startLine + " A: b\r\n\r\n", true},
    {startLine + "A: b\r\n \r\n\r\n", true},
    {startLine + "A: b\r\n Content-Length: 4\r\n\r\n", true},
    {startLine + "A: b\r\nC: d\r\n\t \tTransfer-Encoding: chunked\r\n\r\n", true},
};

} // namespace

// Guards against a length that is taken for a part of another header's value.
TEST_CASE("folded line detector, heads in any parts, finds exactly the folded lines")
{
    for (const Head &head : heads) {
        CAPTURE(head.bytes);
        CHECK(FoldedLineDetector().add(head.bytes) == head.isFolded);
        for (std::size_t at = 0; at <= head.bytes.size(); ++at) {
            FoldedLineDetector detector;
            detector.add(std::string_view(head.bytes).substr(0, at));
            CHECK(detector.add(std::string_view(head.bytes).substr(at)) == head.isFolded);
        }
    }
}

// Guards against a body in a coding that nobody undoes.
TEST_CASE("unknown coding, header fields, is any but chunks alone")
{
    const auto isUnknown = [](std::initializer_list<const char *> codings) {
        boost::beast::http::fields fields;
        for (const char *coding : codings) {
            fields.insert(boost::beast::http::field::transfer_encoding, coding);
        }
        return hasUnknownCoding(fields);
    };
    CHECK_FALSE(isUnknown({}));
    CHECK_FALSE(isUnknown({"chunked"}));
    CHECK_FALSE(isUnknown({"CHUNKED"}));
    CHECK(isUnknown({"xchunked"}));
    CHECK(isUnknown({"chunkedx"}));
    CHECK(isUnknown({"identity"}));
    CHECK(isUnknown({""}));
    CHECK(isUnknown({"gzip, chunked"}));
    CHECK(isUnknown({"chunked, gzip"}));
    CHECK(isUnknown({"chunked", "chunked"}));
}
