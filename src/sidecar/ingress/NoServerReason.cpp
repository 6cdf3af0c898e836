#include "src/sidecar/ingress/NoServerReason.h"

#include "include/home/SlotQueue.h"

namespace waxwing {

bool isNoServerReason(const std::string &reason)
{
    return reason == refusalReasonName(RefusalReason::NoServer) || reason == "stopping" || reason == "other-service"
           || reason == "other-server";
}

} // namespace waxwing
