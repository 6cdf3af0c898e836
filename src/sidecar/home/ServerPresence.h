#pragma once

#include "include/home/LocalServerState.h"
#include "src/http/HttpClient.h"
#include "src/sidecar/home/DepartureStore.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace waxwing {

struct NodeCore;
class SlotScheduler;

/**
 * The arrival and leaving of the server beside this node: handles its heartbeats and deregistrations, and opens and
 * closes the slot queue accordingly. LocalServerState makes the decisions. A notice that the server leaves takes effect
 * at once and is acknowledged when it is stored, because the acknowledgement binds the next process of this node as
 * well. Not thread safe.
 */
class ServerPresence
{
public:
    /** @pre the references outlive this object. */
    ServerPresence(NodeCore &core, SlotScheduler &scheduler);

    /**
     * Restores what an earlier process of this node acknowledged, and stores notices from now on. @pre "platform" is in
     * the kernel; called once, before the first handleCall().
     */
    void start();
    /**
     * Handles a call of the server beside this node. Returns nullopt if @p request is not such a call. @pre called from
     * a fiber if start() was called.
     */
    std::optional<HttpResponse> handleCall(const HttpRequest &request);
    /**
     * Records that another process, or none, responds at the address of the process @p incarnation, and returns queued
     * work to its senders. Does nothing if a later process has registered meanwhile, or if the process already accepts
     * no work. @p cause: for the log.
     */
    void noteReplaced(std::uint64_t incarnation, const std::string &cause);
    /** Sets a hook that is called when a process begins to accept work. @pre called once, before the first call. */
    void setStartHook(std::function<void(const Announcement &)> onStart);
    /** Returns true if the process @p incarnation has given notice that it leaves, so that its end is no crash. */
    bool isLeaving(std::uint64_t incarnation) const;
    /** Returns the process that accepts work, or null. The pointer is valid until the next heartbeat. */
    const Announcement *serving() const;
    /** Returns the newest process known, in whatever state, or null. The pointer is valid until the next heartbeat. */
    const Announcement *latest() const;
    /**
     * Removes the stored notice of a server that no longer runs, because this node stops for good. @pre called from a
     * fiber.
     */
    void removeStoredDeparture();

private:
    /** Returns false if the notice that the server leaves is not stored in time to be acknowledged. */
    bool storeDeparture();
    void applyChange(ServerChange change, const std::string &cause);

    NodeCore &core_;
    SlotScheduler &scheduler_;
    LocalServerState state_;
    DepartureStore departures_;
    bool storesDepartures_ = false;
    std::function<void(const Announcement &)> onStart_;
};

} // namespace waxwing
