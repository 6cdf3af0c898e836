#pragma once

#include "include/base/TokenBucket.h"
#include "include/claim/ClaimTable.h"
#include "src/fiber/FiberLoop.h"
#include "src/link/PeerHub.h"
#include "src/node/RunControl.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
struct ClassIntent;

/**
 * Runs requests with an idempotency key at most once. All requests with a ticket are sent to the incarnation that
 * issued it, or to the successor that it named when it stopped. A caller's own key is bound to a ticket by one
 * conditional create in the object API; after that, both kinds of key are handled in the same way. Not thread safe.
 */
class ClaimService
{
public:
    /** @pre "gossip", "dispatch", "platform" and "peers" are in the kernel. */
    explicit ClaimService(NodeCore &core);

    std::string issueTicket();
    /**
     * Runs a request with an idempotency key that arrived at this node, whichever node owns its ticket. @pre called
     * from a fiber; @p key is not empty.
     */
    ExecReply run(const std::string &key, Exec exec, const ClassIntent &cls);
    /**
     * Claims and runs a request at the node that owns its ticket, whether it arrived there or was forwarded by another
     * node. @pre called from a fiber.
     */
    ExecReply claimLocally(const Exec &exec, const ClassIntent &cls);
    /** Takes over the claims of a stopping node. */
    void adopt(const ClaimHandover &handover);
    /**
     * Refuses new claims, waits at most @p within for the running ones, and hands all claims over to another node. If a
     * claim is still running after the wait, nothing is handed over. @pre called from a fiber.
     */
    void handOver(Duration within);
    void expire();
    std::size_t size() const;
    std::size_t running() const;

private:
    /** An attempt that waits for the result of a running claim. */
    struct Waiter {
        FiberLatch latch;
        std::optional<ExecReply> reply;
    };
    using WaiterPtr = std::shared_ptr<Waiter>;

    /** Returns the ticket that a caller's own key is bound to, or the refusal. */
    tl::expected<Ticket, ExecReply> bindKey(const std::string &key, const Exec &exec);
    ExecReply forwardToOwner(const NodeRef &holder, const Exec &exec);
    void start(const Ticket &ticket, const Exec &exec, const ClassIntent &cls);
    ExecReply waitForResult(const Ticket &ticket, Duration allowed);
    ExecReply replay(const Ticket &ticket) const;
    ExecReply refusalReply(ClaimDecision decision) const;
    static ExecReply makeReply(Outcome outcome, const std::string &reason, Millis retryAfter);

    NodeCore &core_;
    TicketIssuer issuer_;
    ClaimTable table_;
    std::map<std::string, std::vector<WaiterPtr>> waiters_;
    TokenBucket keyWrites_;
    /** Recently bound keys, so that a resend to this node needs no call to the object API. */
    std::map<std::string, std::pair<std::string, SteadyTime>> boundKeys_;
};

} // namespace waxwing
