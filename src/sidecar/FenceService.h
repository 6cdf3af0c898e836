#pragma once

#include "include/fleet/NodeRegistry.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"

#include <functional>
#include <map>
#include <memory>

namespace waxwing {

struct NodeCore;
class FiberNotifier;

/** A Work of this node at another one. */
struct SentWork {
    RegistryEntry home;
    /** The incarnation that it was sent to. */
    NodeRef target;
    std::uint64_t id = 0;
    SteadyTime sentAt;
};

/** The link by which the home of a Work, or a node that passes questions on to it, answered last. */
struct FencePath {
    std::optional<LinkId> link;
};

/**
 * Finds out what became of a Work when nothing comes back: asks its home over a fresh link and through other nodes, all
 * at once. A link that went silent, a path cut in one direction and a lost answer all look alike to the sender; the
 * home alone knows, and one of the ways to it is nearly always open. Not thread safe.
 */
class FenceService
{
public:
    /** Runs a Fence whose target is this node. */
    using FenceHandler = std::function<FenceReply(const Fence &)>;

    FenceService(NodeCore &core, FenceHandler fenceLocally);

    /**
     * Asks by @p path, or in every way if it is empty or does not answer, and unless @p queryOnly forbids the Work to
     * begin. NotKnown if no way answered in @p allowed. An answer that is ready is fetched within @p left.
     * @pre called from a fiber.
     */
    FenceReply query(const SentWork &work, FencePath &path, bool queryOnly, Duration allowed, Duration left);
    /** Asks on the link that is there. @pre called from a fiber. */
    FenceReply queryOver(LinkId link, const SentWork &work, bool queryOnly, Duration allowed);
    /** Answers a Fence from another node, or passes it on to its target. */
    void handle(LinkId link, const NodeRef &from, const Fence &fence);
    void handleReply(const FenceReply &reply);

private:
    struct Pending {
        std::shared_ptr<FiberNotifier> notifier;
        bool answered = false;
        FenceReply reply;
    };

    Fence makeFence(const SentWork &work, bool queryOnly, bool fetch) const;
    FenceReply exchange(LinkId link, Fence fence, Duration allowed);
    FenceReply queryAllPaths(const SentWork &work, FencePath &path, bool queryOnly, Duration allowed);
    FenceReply fetch(LinkId link, const SentWork &work, Duration left);
    void forwardFence(LinkId back, const Fence &fence);
    std::vector<RegistryEntry> chooseRelays(const RegistryEntry &home);

    NodeCore &core_;
    FenceHandler fenceLocally_;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::uint64_t nextId_ = 1;
};

} // namespace waxwing
