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

/** A Work that this node has sent to another one. */
struct SentWork {
    RegistryEntry home;
    /** The incarnation of the home that it was sent to. */
    NodeRef target;
    std::uint64_t id = 0;
    SteadyTime sentAt;
};

/** The link over which the home of a Work, or a relay to it, last replied. */
struct FencePath {
    std::optional<LinkId> link;
};

/**
 * Finds out the outcome of a Work for which no reply arrives: queries its home over a new link and through relays, all
 * in parallel. A link that no longer delivers, a path that fails in one direction and a lost reply look the same to the
 * sender. Only the home has the outcome, and at least one path to it nearly always works. If the home's endpoint
 * refuses the new link, its process has probably ended, and the relays get only a short time. Not thread safe.
 */
class FenceService
{
public:
    /** Handles a Fence whose target is this node. */
    using FenceHandler = std::function<FenceReply(const Fence &)>;

    FenceService(NodeCore &core, FenceHandler fenceLocally);

    /**
     * Returns the state of @p work at its home; NotKnown if no reply with another state arrives. Queries over @p path;
     * if that is empty or fails, over all paths, and sets @p path to the link that replied. Each query takes up to
     * @p timeout. Unless @p queryOnly, a Work that has not started is prevented from starting. A large reply is fetched
     * within @p left. @pre called from a fiber.
     */
    FenceReply query(const SentWork &work, FencePath &path, bool queryOnly, Duration timeout, Duration left);
    /** Queries the outcome over the open link @p link. @pre called from a fiber. */
    FenceReply queryOver(LinkId link, const SentWork &work, bool queryOnly, Duration timeout);
    /** Replies to a Fence from another node, or forwards it to its target. */
    void handle(LinkId link, const NodeRef &from, const Fence &fence);
    void handleReply(const FenceReply &reply);
    /** Ends the queries that wait for a reply on @p link. */
    void linkClosed(LinkId link);

private:
    struct Pending {
        std::shared_ptr<FiberNotifier> notifier;
        LinkId link = 0;
        bool answered = false;
        FenceReply reply;
    };

    Fence makeFence(const SentWork &work, bool queryOnly, bool includeLargeReply) const;
    FenceReply exchange(LinkId link, Fence fence, Duration timeout);
    FenceReply queryAllPaths(const SentWork &work, FencePath &path, bool queryOnly, Duration timeout);
    FenceReply fetch(LinkId link, const SentWork &work, Duration left);
    /** Forwards @p fence to its target and sends the reply on @p replyLink. */
    void forwardFence(LinkId replyLink, const Fence &fence);
    RegistryEntries chooseRelays(const RegistryEntry &home);

    NodeCore &core_;
    FenceHandler fenceLocally_;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::uint64_t nextId_ = 1;
};

} // namespace waxwing
