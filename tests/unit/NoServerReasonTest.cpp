#include "src/sidecar/ingress/NoServerReason.h"

#include "include/home/SlotQueue.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace waxwing;

// Guards against a sender that goes on choosing a home without a server, because it does not know one of the reasons by
// which homes say so.
TEST_CASE("no-server reason, home has no server for the request, is recognized")
{
    const std::vector<std::string> reasons = {"no-server", "stopping", "other-service", "other-server"};
    for (const std::string &reason : reasons) {
        CAPTURE(reason);
        CHECK(isNoServerReason(reason));
    }
}

// Guards against a home that is avoided although its server is only busy or gray.
TEST_CASE("no-server reason, home refuses for another reason, is not taken for one")
{
    for (const RefusalReason reason : {RefusalReason::Busy, RefusalReason::LikelyGray, RefusalReason::CallsUnserved}) {
        CAPTURE(refusalReasonName(reason));
        CHECK_FALSE(isNoServerReason(refusalReasonName(reason)));
    }
    CHECK_FALSE(isNoServerReason(""));
    CHECK_FALSE(isNoServerReason("queue-timeout"));
}
