#include "src/sidecar/home/WorkOrigins.h"

#include "src/node/NodeCore.h"
#include "src/sidecar/membership/RegistrySync.h"

namespace waxwing {

WorkOrigins::WorkOrigins(NodeCore &core)
    : core_(core)
    , origins_(
          [this](const std::string &zone, const std::set<std::string> &services) { return zoneShare(zone, services); })
{ }

void WorkOrigins::note(const NodeRef &sender, const std::string &route)
{
    if (sender.id == core_.self.id) {
        origins_.note(route, core_.settings.zone, core_.settings.server->service);
    } else if (const RegistryEntryPtr entry = core_.service<RegistrySync>("registry").registry().find(sender.id)) {
        origins_.note(route, entry->zone, entry->service);
    }
}

bool WorkOrigins::isNestedCall(const std::string &route) const
{
    return origins_.isNestedCall(route);
}

double WorkOrigins::zoneShare(const std::string &zone, const std::set<std::string> &services) const
{
    const NodeRegistry &registry = core_.service<RegistrySync>("registry").registry();
    const std::size_t all = registry.inZone(zone).size();
    std::size_t matching = 0;
    for (const std::string &service : services) {
        matching += registry.countOf(zone, service);
    }
    return all > 0 ? static_cast<double>(matching) / static_cast<double>(all) : 1.0;
}

} // namespace waxwing
