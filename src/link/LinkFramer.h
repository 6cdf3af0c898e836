#pragma once

#include "include/base/Error.h"
#include "include/wire/Messages.h"
#include "src/link/MessageDeflate.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace waxwing {

/**
 * Turns the messages of one link into frames and back. A message goes out as one frame, compressed with what the link
 * carried before. A large body is taken out of its message and goes ahead of it in parts, of which only a few may be
 * unacknowledged; other messages pass between the parts.
 *
 * Without parts, a message of some hundred bytes waited behind whole answers of a hundred times its size: on a narrow
 * link receipts came late, and a path that only was busy was taken for broken. Opens no socket. Not thread safe.
 */
class LinkFramer
{
public:
    /** Writes one frame; false if the link takes no more. */
    using Write = std::function<bool(const std::string &frame)>;

    /** False if a frame could not be written: the other end would misread what follows, so the link is of no use. */
    bool send(Message message, const Write &write);
    /**
     * Takes a frame from the other end; a message once it is whole. Acknowledges parts, and sends on what waited for an
     * acknowledgement, by @p write. Errors: Malformed; Unavailable if @p write failed.
     */
    Expected<std::optional<Message>> receive(const std::string &frame, const Write &write);
    /** Bytes of large bodies that wait for the other end. */
    std::size_t queuedBytes() const;

private:
    struct ChunkedMessage {
        /** Without its body. */
        Message message;
        std::string body;
        std::size_t sent = 0;
    };

    bool sendChunks(const Write &write);
    bool writeMessage(char kind, const Message &message, const Write &write);
    Expected<std::optional<Message>> receiveChunk(const std::string &frame, const Write &write);
    Expected<std::optional<Message>> receiveMessage(const std::string &frame, bool hasBody);

    MessageDeflater deflater_;
    MessageInflater inflater_;
    std::deque<ChunkedMessage> queue_;
    std::size_t unackedChunks_ = 0;
    /** Parts that came for the message whose rest is still to come. */
    std::string receivedBody_;
};

} // namespace waxwing
