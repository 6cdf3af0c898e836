#include "src/link/LinkFramer.h"

namespace waxwing {

namespace {

/** Kind of a frame, in its first byte. */
constexpr char messageFrame = 0;
constexpr char chunkFrame = 1;
/** A message whose body was sent before it in chunks. */
constexpr char chunkedMessageFrame = 2;
constexpr char chunkAckFrame = 3;

/** Larger bodies are sent in chunks, ahead of their message. */
constexpr std::size_t maxInlineBytes = 16UL * 1024;
constexpr std::size_t chunkBytes = 16UL * 1024;
/**
 * Chunks in flight at once. Limits how long a small message waits behind chunks, and how much one round trip carries.
 */
constexpr std::size_t maxUnackedChunks = 3;
constexpr std::size_t maxMessageBytes = 8UL * 1024 * 1024;

} // namespace

void LinkFramer::setChargeHook(ChargeHook chargeBody)
{
    chargeBody_ = std::move(chargeBody);
}

bool LinkFramer::send(Message message, const Write &write)
{
    Body *body = bodyOf(message);
    if (body == nullptr || body->size() <= maxInlineBytes) {
        return writeMessage(messageFrame, message, write);
    }
    ChunkedMessage chunked;
    chunked.body = std::move(*body);
    body->clear();
    chunked.message = std::move(message);
    queue_.push_back(std::move(chunked));
    return sendChunks(write);
}

bool LinkFramer::writeMessage(char kind, const Message &message, const Write &write)
{
    return write(kind + deflater_.deflate(encodeMessage(message)));
}

bool LinkFramer::sendChunks(const Write &write)
{
    while (!queue_.empty() && unackedChunks_ < maxUnackedChunks) {
        ChunkedMessage &chunked = queue_.front();
        if (!write(chunkFrame + chunked.body.text().substr(chunked.sent, chunkBytes))) {
            return false;
        }
        ++unackedChunks_;
        chunked.sent += chunkBytes;
        if (chunked.sent < chunked.body.size()) {
            continue;
        }
        if (!writeMessage(chunkedMessageFrame, chunked.message, write)) {
            return false;
        }
        queue_.pop_front();
    }
    return true;
}

Expected<std::optional<Message>> LinkFramer::receive(const std::string &frame, const Write &write)
{
    if (frame.empty()) {
        return fail(ErrorCode::Malformed, "empty frame");
    }
    switch (frame.front()) {
    case messageFrame:
        return receiveMessage(frame, false);
    case chunkedMessageFrame:
        return receiveMessage(frame, true);
    case chunkFrame:
        return receiveChunk(frame, write);
    case chunkAckFrame:
        if (unackedChunks_ == 0) {
            return fail(ErrorCode::Malformed, "acknowledgement of a chunk that was not sent");
        }
        --unackedChunks_;
        if (!sendChunks(write)) {
            return fail(ErrorCode::Unavailable, "write to the link failed");
        }
        return std::optional<Message>();
    default:
        return fail(ErrorCode::Malformed, "unknown frame kind");
    }
}

Expected<std::optional<Message>> LinkFramer::receiveChunk(const std::string &frame, const Write &write)
{
    const std::size_t chunkSize = frame.size() - 1;
    if (receivedBody_.size() + chunkSize > maxBodyBytes) {
        return fail(ErrorCode::Malformed, "body larger than " + std::to_string(maxBodyBytes) + " bytes");
    }
    receivedBody_.append(frame, 1, std::string::npos);
    if (!write(std::string(1, chunkAckFrame))) {
        return fail(ErrorCode::Unavailable, "write to the link failed");
    }
    return std::optional<Message>();
}

Expected<std::optional<Message>> LinkFramer::receiveMessage(const std::string &frame, bool hasBody)
{
    const Expected<std::string> bytes = inflater_.inflate(frame.substr(1), maxMessageBytes);
    if (!bytes) {
        return tl::unexpected<Error>(bytes.error());
    }
    Expected<Message> message = decodeMessage(*bytes);
    if (!message) {
        return tl::unexpected<Error>(message.error());
    }
    if (hasBody) {
        Body *body = bodyOf(*message);
        if (body == nullptr || receivedBody_.empty()) {
            return fail(ErrorCode::Malformed, "message and preceding body chunks do not match");
        }
        const std::size_t size = receivedBody_.size();
        *body = Body(std::move(receivedBody_), chargeBody_ ? chargeBody_(size) : nullptr);
        receivedBody_.clear();
    }
    return std::optional<Message>(std::move(*message));
}

std::size_t LinkFramer::queuedBytes() const
{
    std::size_t bytes = 0;
    for (const ChunkedMessage &chunked : queue_) {
        bytes += chunked.body.size() - chunked.sent;
    }
    return bytes;
}

} // namespace waxwing
