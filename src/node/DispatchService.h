#pragma once

#include "include/limit/RetryBudget.h"
#include "include/limit/TokenBucket.h"
#include "include/route/HomeChooser.h"
#include "include/wire/Messages.h"
#include "src/node/RunControl.h"

#include <map>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
struct ClassIntent;

/** Finds a home for a request and has it run there, here or over a link. Not thread safe. */
class DispatchService
{
public:
    /** @pre "gossip", "homes" and "peers" are in the kernel. */
    explicit DispatchService(NodeCore &core);
    /**
     * Runs @p exec at some home. Work that is not idempotent goes to another home only after the first one said, or
     * it is otherwise known, that it was not run. Waits a little longer than the request's time for a home's own
     * verdict. @pre called from a fiber.
     */
    ExecReply run(const Exec &exec, const ClassIntent &cls, const RunControlPtr &control);
    /** Forgets what is old. Call about once a second. */
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
