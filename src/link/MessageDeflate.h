#pragma once

#include "include/base/Error.h"

#include <cstddef>
#include <memory>
#include <string>

namespace waxwing {

/**
 * Compresses the outgoing messages of one link, in sending order. All messages share one compression history, so header
 * names, hosts and routes take only a few bytes after their first use: traffic between availability zones and regions
 * is billed. The peer must decompress every message, in the same order. Not thread safe.
 */
class MessageDeflater
{
public:
    MessageDeflater();
    ~MessageDeflater();
    MessageDeflater(const MessageDeflater &) = delete;
    MessageDeflater &operator=(const MessageDeflater &) = delete;

    std::string deflate(const std::string &message);

private:
    struct Stream;
    std::unique_ptr<Stream> stream_;
};

/** Decompresses the messages of a MessageDeflater. Not thread safe. */
class MessageInflater
{
public:
    MessageInflater();
    ~MessageInflater();
    MessageInflater(const MessageInflater &) = delete;
    MessageInflater &operator=(const MessageInflater &) = delete;

    /**
     * Decompresses one message. Errors: Malformed, if @p bytes do not continue the stream or the message would be
     * longer than @p maxBytes; the link must be closed then, since no later message can be decompressed.
     */
    Expected<std::string> inflate(const std::string &bytes, std::size_t maxBytes);

private:
    struct Stream;
    std::unique_ptr<Stream> stream_;
};

} // namespace waxwing
