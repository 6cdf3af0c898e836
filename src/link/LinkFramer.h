#pragma once

#include "include/base/Error.h"
#include "include/wire/Messages.h"
#include "src/link/MessageDeflate.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace waxwing {

/**
 * Encodes the messages of one link as frames and decodes them. A message is sent as one frame, compressed with the
 * link's earlier messages as history. A large body is removed from its message and sent ahead of it in chunks, of which
 * only a few may be unacknowledged; other messages are sent between the chunks.
 *
 * Without chunks, a message of a few hundred bytes waited behind whole responses of a hundred times its size. On a
 * low-bandwidth link acknowledgements arrived late, and a path that was only busy was treated as failed. Opens no
 * socket. Not thread safe.
 */
class LinkFramer
{
public:
    /** Writes one frame; returns false if the write failed. */
    using Write = std::function<bool(const std::string &frame)>;
    /** Returns what a received body of a number of bytes holds elsewhere until it is destroyed. */
    using ChargeHook = std::function<std::shared_ptr<const void>(std::size_t bytes)>;

    /** Largest body of a message. The receiver of a larger one closes the link. */
    static constexpr std::size_t maxBodyBytes = 8UL * 1024 * 1024 - 1;

    /** Sets a hook for bodies that are received in chunks. */
    void setChargeHook(ChargeHook chargeBody);

    /**
     * Sends @p message. Returns false if a frame could not be written; the link must be closed then, since the peer
     * would misread all later frames.
     */
    bool send(Message message, const Write &write);
    /**
     * Processes a frame from the peer. Returns a message once it is complete. Uses @p write to acknowledge chunks, and
     * to send queued chunks when an acknowledgement arrives. Errors: Malformed; Unavailable if @p write failed.
     */
    Expected<std::optional<Message>> receive(const std::string &frame, const Write &write);
    /** Returns the number of bytes of large bodies that are not sent yet. */
    std::size_t queuedBytes() const;

private:
    struct ChunkedMessage {
        /** The message without its body. */
        Message message;
        Body body;
        std::size_t sent = 0;
    };

    bool sendChunks(const Write &write);
    bool writeMessage(char kind, const Message &message, const Write &write);
    Expected<std::optional<Message>> receiveChunk(const std::string &frame, const Write &write);
    Expected<std::optional<Message>> receiveMessage(const std::string &frame, bool hasBody);

    ChargeHook chargeBody_;
    MessageDeflater deflater_;
    MessageInflater inflater_;
    std::deque<ChunkedMessage> queue_;
    std::size_t unackedChunks_ = 0;
    /** Chunks received for the next chunked message. */
    std::string receivedBody_;
};

} // namespace waxwing
