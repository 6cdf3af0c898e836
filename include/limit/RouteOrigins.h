#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace waxwing {

/**
 * Tells routes that only servers call from those of callers, by where their requests come from. Callers stand on every
 * VM; a server's calls come only from VMs of the services that make them. A route whose requests never come from the
 * VMs of some service, though many came from zones where that service has VMs, is one of servers.
 *
 * Seen from the VM where a call begins this takes long or for ever, since a busy server is never idle; the home that is
 * called sees the requests of many VMs at once. Not thread safe.
 */
class RouteOrigins
{
public:
    /** Part of the VMs of @p zone whose server belongs to one of @p services, 0 to 1. */
    using ShareOf = std::function<double(const std::string &zone, const std::set<std::string> &services)>;

    explicit RouteOrigins(ShareOf shareOf);

    /** A request of @p route came from a VM in @p zone whose server belongs to @p service. */
    void note(const std::string &route, const std::string &zone, const std::string &service);
    /** Requests of @p route are calls of servers. False as long as chance explains where they came from. */
    bool isNestedCall(const std::string &route) const;

private:
    struct Origins {
        std::set<std::string> services;
        std::map<std::string, std::uint32_t> requestsByZone;
        std::uint32_t requests = 0;
    };

    ShareOf shareOf_;
    std::map<std::string, Origins> routes_;
};

} // namespace waxwing
