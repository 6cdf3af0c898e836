#pragma once

#include "include/base/TokenBucket.h"
#include "include/limit/RetryBudget.h"
#include "include/route/HomeChooser.h"
#include "include/wire/Messages.h"
#include "src/node/RunControl.h"

#include <map>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
struct ClassIntent;

/** Chooses a home for a request and runs it there, on this node or over a link. Not thread safe. */
class DispatchService
{
public:
    /** @pre "gossip", "homes" and "peers" are in the kernel. */
    explicit DispatchService(NodeCore &core);
    /**
     * Runs @p exec at a home. Non-idempotent work is sent to another home only if it is certain that it was not run:
     * the home reported so, or the request was never sent. Waits for the home's reply slightly longer than the
     * request's remaining time; for idempotent work, not much longer than a multiple of the class's response time.
     * @pre called from a fiber.
     */
    ExecReply run(const Exec &exec, const ClassIntent &cls, const RunControlPtr &control);
    /** Removes stale load and path data. Call about once a second. */
    void expire();

private:
    std::vector<HomeCandidate> candidates(const std::string &service) const;
    ExecReply runAt(const HomeCandidate &home, const Exec &exec, const ClassIntent &cls, const RunControlPtr &control);
    ExecReply runRemote(const HomeCandidate &home, const Exec &exec, const ClassIntent &cls,
                        const RunControlPtr &control);
    bool takeRegionBytes(const HomeCandidate &home, std::size_t bytes);

    NodeCore &core_;
    HomeChooser chooser_;
    std::map<std::string, RetryBudget> budgets_;
    TokenBucket regionBytes_;
};

} // namespace waxwing
