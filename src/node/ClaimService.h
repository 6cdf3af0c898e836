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
 * Runs keyed work at most once. A ticket's requests all go to the incarnation that minted it (or to the one that it
 * named when it stopped). A key of the caller's own is bound to a ticket by one conditional create in the object
 * API, so that both kinds follow one path afterwards. Not thread safe.
 */
class ClaimService
{
public:
    /** @pre "gossip", "dispatch", "platform" and "peers" are in the kernel. */
    explicit ClaimService(NodeCore &core);

    std::string issueTicket();
    /** Runs keyed work, from whichever node it came in at. @pre called from a fiber; @p key is not empty. */
    ExecReply run(const std::string &key, Exec exec, const ClassIntent &cls);
    /** A Claim that another node passed on to this one as the owner. @pre called from a fiber. */
    ExecReply claimLocally(const Exec &exec, const ClassIntent &cls);
    /** Takes a stopping node's claims. */
    void adopt(const ClaimHandover &handover);
    /** Refuses new claims, waits for running ones and hands the rest to another node. @pre called from a fiber. */
    void handOver(Duration within);
    void expire();
    std::size_t size() const;
    std::size_t running() const;

private:
    /** An attempt that waits for a running claim's end. */
    struct Waiter {
        FiberLatch latch;
        std::optional<ExecReply> reply;
    };
    using WaiterPtr = std::shared_ptr<Waiter>;

    /** The ticket that a caller's own key is bound to, or the refusal. */
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
    /** Keys that were bound lately, so that a resend to this node costs no call. */
    std::map<std::string, std::pair<std::string, SteadyTime>> boundKeys_;
};

} // namespace waxwing
