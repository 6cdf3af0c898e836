#pragma once

#include "include/claim/ClaimTable.h"
#include "include/limit/TokenBucket.h"
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
 * Runs keyed work at most once. All requests with a ticket go to the incarnation that issued it, or to the successor
 * that it named when it stopped. A caller's own key is bound to a ticket by one conditional create in the object API;
 * from then on both kinds of key are handled alike. Not thread safe.
 */
class ClaimService
{
public:
    /** @pre "gossip", "dispatch", "platform" and "peers" are in the kernel. */
    explicit ClaimService(NodeCore &core);

    std::string issueTicket();
    /**
     * Runs keyed work that arrived at this node, whichever node owns its ticket. @pre called from a fiber; @p key is
     * not empty.
     */
    ExecReply run(const std::string &key, Exec exec, const ClassIntent &cls);
    /**
     * Claims and runs a request as the owner of its ticket, also when another node forwarded it as a Claim. @pre called
     * from a fiber.
     */
    ExecReply claimLocally(const Exec &exec, const ClassIntent &cls);
    /** Takes over the claims of a stopping node. */
    void adopt(const ClaimHandover &handover);
    /**
     * Refuses new claims, waits for the running ones at most @p within, and hands the finished ones over to another
     * node. @pre called from a fiber.
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
