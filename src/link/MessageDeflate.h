#pragma once

#include "include/base/Error.h"

#include <cstddef>
#include <memory>
#include <string>

namespace waxwing {

/**
 * Compresses the messages that go out on one link, in the order in which they are sent. Later messages refer to what
 * earlier ones held, so header names, hosts and routes cost a few bytes after their first use: bytes between
 * availability zones and regions are paid for. The other end needs every message, in order. Not thread safe.
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

/** The other end of a MessageDeflater. Not thread safe. */
class MessageInflater
{
public:
    MessageInflater();
    ~MessageInflater();
    MessageInflater(const MessageInflater &) = delete;
    MessageInflater &operator=(const MessageInflater &) = delete;

    /**
     * The message that was compressed to @p bytes. Errors: Malformed, if it is no such stream or would be longer than
     * @p maxBytes bytes; the link must be closed then, since nothing that follows can be read.
     */
    Expected<std::string> inflate(const std::string &bytes, std::size_t maxBytes);

private:
    struct Stream;
    std::unique_ptr<Stream> stream_;
};

} // namespace waxwing
