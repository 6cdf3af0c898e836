#include "src/link/LinkFramer.h"

namespace waxwing {

namespace {

/** First byte of each frame. */
constexpr char wholeMessage = 0;
constexpr char partOfBody = 1;
/** A message whose body came before it in parts. */
constexpr char restOfMessage = 2;
constexpr char partTaken = 3;

/** Bodies up to this size stay in their message. */
constexpr std::size_t mostInline = 16UL * 1024;
constexpr std::size_t partBytes = 16UL * 1024;
/** Parts on their way at once: what a small message may have to wait behind, and what one round trip carries. */
constexpr std::size_t window = 3;
constexpr std::size_t mostMessageBytes = 8UL * 1024 * 1024;

} // namespace

bool LinkFramer::send(Message message, const Write &write)
{
    std::string *body = bodyOf(message);
    if (body == nullptr || body->size() <= mostInline) {
        return sendWhole(wholeMessage, message, write);
    }
    Bulk bulk;
    bulk.body = std::move(*body);
    body->clear();
    bulk.message = std::move(message);
    waiting_.push_back(std::move(bulk));
    return sendParts(write);
}

bool LinkFramer::sendWhole(char kind, const Message &message, const Write &write)
{
    return write(kind + deflater_.deflate(encodeMessage(message)));
}

bool LinkFramer::sendParts(const Write &write)
{
    while (!waiting_.empty() && unacknowledged_ < window) {
        Bulk &bulk = waiting_.front();
        if (!write(partOfBody + bulk.body.substr(bulk.sent, partBytes))) {
            return false;
        }
        ++unacknowledged_;
        bulk.sent += partBytes;
        if (bulk.sent < bulk.body.size()) {
            continue;
        }
        if (!sendWhole(restOfMessage, bulk.message, write)) {
            return false;
        }
        waiting_.pop_front();
    }
    return true;
}

Expected<std::optional<Message>> LinkFramer::take(const std::string &frame, const Write &write)
{
    if (frame.empty()) {
        return fail(ErrorCode::Malformed, "empty frame");
    }
    switch (frame.front()) {
    case wholeMessage:
        return takeMessage(frame, false);
    case restOfMessage:
        return takeMessage(frame, true);
    case partOfBody:
        return takePart(frame, write);
    case partTaken:
        if (unacknowledged_ == 0) {
            return fail(ErrorCode::Malformed, "acknowledges a part that was not sent");
        }
        --unacknowledged_;
        if (!sendParts(write)) {
            return fail(ErrorCode::Unavailable, "the link takes no more");
        }
        return std::optional<Message>();
    default:
        return fail(ErrorCode::Malformed, "unknown kind of frame");
    }
}

Expected<std::optional<Message>> LinkFramer::takePart(const std::string &frame, const Write &write)
{
    if (incoming_.size() + frame.size() > mostMessageBytes) {
        return fail(ErrorCode::Malformed, "body of more than " + std::to_string(mostMessageBytes) + " bytes");
    }
    incoming_.append(frame, 1, std::string::npos);
    if (!write(std::string(1, partTaken))) {
        return fail(ErrorCode::Unavailable, "the link takes no more");
    }
    return std::optional<Message>();
}

Expected<std::optional<Message>> LinkFramer::takeMessage(const std::string &frame, bool hasBody)
{
    const Expected<std::string> bytes = inflater_.inflate(frame.substr(1), mostMessageBytes);
    if (!bytes) {
        return tl::unexpected<Error>(bytes.error());
    }
    Expected<Message> message = decodeMessage(*bytes);
    if (!message) {
        return tl::unexpected<Error>(message.error());
    }
    if (hasBody) {
        std::string *body = bodyOf(*message);
        if (body == nullptr || incoming_.empty()) {
            return fail(ErrorCode::Malformed, "a message that has no body came with parts of one");
        }
        *body = std::move(incoming_);
        incoming_.clear();
    }
    return std::optional<Message>(std::move(*message));
}

std::size_t LinkFramer::bytesWaiting() const
{
    std::size_t bytes = 0;
    for (const Bulk &bulk : waiting_) {
        bytes += bulk.body.size() - bulk.sent;
    }
    return bytes;
}

} // namespace waxwing
