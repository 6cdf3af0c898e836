#include "include/base/HttpMessage.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace waxwing {

namespace {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

StatusClass statusClassOf(unsigned status)
{
    constexpr unsigned firstInterim = 100;
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned firstFinal = 200;
    constexpr unsigned lastFinal = 599;
    if (status < firstInterim || status > lastFinal || status == switchingProtocols) {
        return StatusClass::Invalid;
    }
    return status < firstFinal ? StatusClass::Interim : StatusClass::Final;
}

std::string_view headerValue(const HeaderList &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (equalsIgnoringCase(key, name)) {
            return value;
        }
    }
    return {};
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names = {"connection",          "keep-alive", "proxy-authenticate",
                                                              "proxy-authorization", "te",         "trailer",
                                                              "transfer-encoding",   "upgrade",    "content-length"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view known) { return equalsIgnoringCase(known, name); });
}

HttpResponse jsonResponse(unsigned status, std::string body)
{
    return HttpResponse{status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace waxwing
