#include "src/sidecar/home/WorkOrigins.h"

#include "src/node/NodeCore.h"
#include "src/sidecar/RegistrySync.h"

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
    double all = 0.0;
    double matching = 0.0;
    for (const RegistryEntryPtr &entry : core_.service<RegistrySync>("registry").registry().all()) {
        if (entry->zone == zone) {
            all += 1.0;
            matching += services.count(entry->service) != 0 ? 1.0 : 0.0;
        }
    }
    return all > 0.0 ? matching / all : 1.0;
}

} // namespace waxwing
