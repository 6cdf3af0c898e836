#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** A whole HTTP request, apart from any connection. */
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HeaderList headers;
    std::string body;
};

/** A whole HTTP response, apart from any connection. */
struct HttpResponse {
    unsigned status = 200;
    HeaderList headers;
    std::string body;
};

/** The first value of @p name (case-insensitive), or an empty view. Thread safe. */
std::string_view headerValue(const HeaderList &headers, std::string_view name);
/** True for the headers that concern one connection only and are never passed on. Thread safe. */
bool isHopByHop(std::string_view name);
/** A JSON response. Thread safe. */
HttpResponse jsonResponse(unsigned status, std::string body);

} // namespace waxwing
