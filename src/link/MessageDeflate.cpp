#include "src/link/MessageDeflate.h"

#include <zlib.h>

#include <array>
#include <stdexcept>

namespace waxwing {

namespace {

/**
 * 4 KB of history, about three messages. A link takes about 45 KB for both directions, and a node has two links to each
 * other node. Negative for a raw stream without header and checksum.
 */
constexpr int windowBits = -12;
constexpr int memoryLevel = 5;
constexpr int level = 6;
constexpr std::size_t bufferBytes = 4096;
/** The last bytes of each sync flush, which are not sent. */
constexpr std::array<char, 4> flushTrailer = {'\x00', '\x00', '\xff', '\xff'};

Bytef *inputOf(const std::string &bytes)
{
    // zlib's interface lacks const here, but zlib does not write to its input.
    return reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
}

} // namespace

struct MessageDeflater::Stream {
    z_stream z{};
};

MessageDeflater::MessageDeflater()
    : stream_(std::make_unique<Stream>())
{
    if (deflateInit2(&stream_->z, level, Z_DEFLATED, windowBits, memoryLevel, Z_DEFAULT_STRATEGY) != Z_OK) {
        throw std::runtime_error("zlib: cannot allocate the deflate stream of a link");
    }
}

MessageDeflater::~MessageDeflater()
{
    deflateEnd(&stream_->z);
}

std::string MessageDeflater::deflate(const std::string &message)
{
    z_stream &z = stream_->z;
    z.next_in = inputOf(message);
    z.avail_in = static_cast<uInt>(message.size());
    std::string out;
    std::array<char, bufferBytes> buffer{};
    do {
        z.next_out = reinterpret_cast<Bytef *>(buffer.data());
        z.avail_out = static_cast<uInt>(buffer.size());
        ::deflate(&z, Z_SYNC_FLUSH);
        out.append(buffer.data(), buffer.size() - z.avail_out);
    } while (z.avail_out == 0);
    out.resize(out.size() - flushTrailer.size());
    return out;
}

struct MessageInflater::Stream {
    z_stream z{};
};

MessageInflater::MessageInflater()
    : stream_(std::make_unique<Stream>())
{
    if (inflateInit2(&stream_->z, windowBits) != Z_OK) {
        throw std::runtime_error("zlib: cannot allocate the inflate stream of a link");
    }
}

MessageInflater::~MessageInflater()
{
    inflateEnd(&stream_->z);
}

Expected<std::string> MessageInflater::inflate(const std::string &bytes, std::size_t maxBytes)
{
    z_stream &z = stream_->z;
    std::string input = bytes;
    input.append(flushTrailer.data(), flushTrailer.size());
    z.next_in = inputOf(input);
    z.avail_in = static_cast<uInt>(input.size());
    std::string out;
    std::array<char, bufferBytes> buffer{};
    do {
        z.next_out = reinterpret_cast<Bytef *>(buffer.data());
        z.avail_out = static_cast<uInt>(buffer.size());
        const int result = ::inflate(&z, Z_SYNC_FLUSH);
        // Z_BUF_ERROR: no input was left, as after a message that exactly fills the buffer.
        if (result != Z_OK && result != Z_BUF_ERROR) {
            return fail(ErrorCode::Malformed, "not a deflate stream");
        }
        out.append(buffer.data(), buffer.size() - z.avail_out);
        // A malicious stream of a few bytes can expand to gigabytes.
        if (out.size() > maxBytes) {
            return fail(ErrorCode::Malformed, "message larger than " + std::to_string(maxBytes) + " bytes");
        }
    } while (z.avail_out == 0);
    return out;
}

} // namespace waxwing
