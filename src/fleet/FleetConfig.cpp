#include "include/fleet/FleetConfig.h"

#include <algorithm>
#include <cctype>

namespace waxwing {

namespace {

std::string hostKey(std::string_view host)
{
    // An IPv6 literal keeps its colons; only a port after the closing bracket is removed.
    const std::size_t bracket = host.rfind(']');
    const std::size_t colon = host.rfind(':');
    if (colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket)) {
        host = host.substr(0, colon);
    }
    std::string key(host);
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return key;
}

} // namespace

void FleetConfig::addRoute(Route route)
{
    auto &prefixes = routesByHost_[hostKey(route.host)];
    std::string prefix = route.prefix;
    const bool isNew = prefixes.insert_or_assign(std::move(prefix), std::move(route)).second;
    routeCount_ += isNew ? 1 : 0;
}

const Route *FleetConfig::routeFor(std::string_view host, std::string_view target) const
{
    const auto found = routesByHost_.find(hostKey(host));
    if (found == routesByHost_.end()) {
        return nullptr;
    }
    std::string_view path = target.substr(0, target.find('?'));
    while (true) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto route = found->second.find(std::string(path.substr(0, slash + 1)));
        if (route != found->second.end()) {
            return &route->second;
        }
        path = path.substr(0, slash);
    }
}

std::size_t FleetConfig::routeCount() const
{
    return routeCount_;
}

} // namespace waxwing
