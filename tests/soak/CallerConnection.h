#pragma once

#include "include/base/HttpMessage.h"
#include "include/settings/NodeSettings.h"

#include <boost/beast/core.hpp>
#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace waxwing::soak {

/** Why no response arrived. */
enum class ReadFailure { TimedOut, BrokenOff };

struct CallerResponse {
    HttpResponse response;
    /** The connection takes further requests. */
    bool keepAlive = true;
};

/**
 * A caller's connection that is kept open over several requests. Requests may be written before earlier ones are
 * answered, and responses may be read slowly. Used by one fiber of the loop's thread at a time.
 */
class CallerConnection
{
public:
    explicit CallerConnection(Endpoint endpoint);

    /** Connects unless a connection is open and fresh, and writes @p bytes. Returns false if that fails; the connection
     * is closed then. */
    bool write(const std::string &bytes);
    /**
     * Reads the next response, pausing for @p pauseBetweenReads after every few kilobytes. Closes the connection on
     * failure. @pre write() succeeded.
     */
    tl::expected<CallerResponse, ReadFailure> read(Millis timeout, Millis pauseBetweenReads = Millis(0));
    void close();

private:
    bool connect();

    Endpoint endpoint_;
    std::unique_ptr<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
    SteadyTime lastWrite_;
};

} // namespace waxwing::soak
