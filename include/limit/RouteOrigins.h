#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace waxwing {

/**
 * Distinguishes routes that only servers call from routes of callers by the origin of their requests. Callers are on
 * every VM, while the calls of a server come only from VMs of the services that make them. If requests of a route never
 * come from the VMs of some service, although many came from zones with VMs of that service, they are nested calls.
 *
 * The node beside the calling server detects this late or never (see NestedCallTracker), because a busy server is never
 * idle. The called home sees the requests of many VMs at once. Not thread safe.
 */
class RouteOrigins
{
public:
    /** Returns the fraction of the VMs of @p zone whose server belongs to one of @p services, 0 to 1. */
    using ShareOf = std::function<double(const std::string &zone, const std::set<std::string> &services)>;

    explicit RouteOrigins(ShareOf shareOf);

    /** Records a request of @p route from a VM in @p zone whose server belongs to @p service. */
    void note(const std::string &route, const std::string &zone, const std::string &service);
    /** Returns true if requests of @p route are nested calls. False while their origins may be due to chance. */
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
