#pragma once

#include "include/base/Body.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** A complete HTTP request, independent of a connection. */
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HeaderList headers;
    Body body;
};

/** A complete HTTP response, independent of a connection. */
struct HttpResponse {
    unsigned status = 200;
    HeaderList headers;
    Body body;
    /**
     * The body had no length and ended with its connection, so it can't be known to be complete. It is passed on in the
     * same form: with a length it would look complete to the next receiver.
     */
    bool isCloseDelimited = false;
};

/** What a status code says about the message that it is in (RFC 9110, section 15). */
enum class StatusClass {
    /** A response to the same request follows. */
    Interim,
    /** The response to the request. */
    Final,
    /**
     * Not a status code of HTTP; or 101, because no request asks to switch protocols and what follows would not be
     * HTTP. Such a message is not a response.
     */
    Invalid,
};

/** Returns the class of @p status, for any value. Thread safe. */
StatusClass statusClassOf(unsigned status);
/** Returns the first value of @p name (case-insensitive), or an empty view. Thread safe. */
std::string_view headerValue(const HeaderList &headers, std::string_view name);
/** Returns true for headers that are not forwarded: those of one connection, and Content-Length. Thread safe. */
bool isHopByHop(std::string_view name);
/** Returns a response with a JSON body. Thread safe. */
HttpResponse jsonResponse(unsigned status, std::string body);

} // namespace waxwing
