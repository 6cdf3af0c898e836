#pragma once

#include "include/route/HomeRanking.h"
#include "src/sidecar/ingress/ForwardedRequest.h"

#include <cstdint>

namespace waxwing {

struct NodeCore;
class HomeSelector;
class HomeSender;
class ReplyEvaluator;
class SlotRequester;
class StartLimit;

/** Takes one attempt of a request from home to home until one accepts the request or none is left. Not thread safe. */
class AttemptRunner
{
public:
    /** The arguments must outlive this object and the attempts. */
    AttemptRunner(const NodeCore &core, SlotRequester &slots, const StartLimit &startLimit, HomeSelector &homes,
                  HomeSender &sender, ReplyEvaluator &replies);

    /** Runs @p attempt and stores its reply. @pre called from a fiber, once for each attempt. */
    void run(const ForwardedRequestPtr &request, const AttemptPtr &attempt, AttemptKind kind);

private:
    /** What an attempt does after one step. */
    enum class Step {
        /** Goes on with the choice of the home. */
        Continue,
        /** Chooses a home again. */
        ChooseAgain,
        End,
    };
    /** The home to which the request is sent next. */
    struct Target {
        HomeChoice choice;
        /** Id of the reservation for which the home holds a slot; 0: none. */
        std::uint64_t reservation = 0;
        /** The request may wait for an offer, at this home or the next one. */
        bool canReserve = false;
    };

    /** Returns false, with the reason in the reply, if the request must not be sent any more. */
    bool maySend(const ForwardedRequest &request, ForwardAttempt &attempt, SteadyTime now) const;
    /** Waits for an offer if no home has room, and sets @p target to the home that makes it. */
    Step reserve(const ForwardedRequestPtr &request, const AttemptPtr &attempt, Target &target);
    /**
     * Returns true if the request must not be sent to @p target: there is no home, a hedge would be refused, or the
     * request would miss its deadline there. The last case sets the reply.
     */
    bool isUseless(const ForwardedRequest &request, ForwardAttempt &attempt, AttemptKind kind,
                   const Target &target) const;
    /** Sets how long the request may be queued at the home of @p target. */
    void limitQueueing(AttemptKind kind, Target &target) const;

    const NodeCore &core_;
    SlotRequester &slots_;
    const StartLimit &startLimit_;
    HomeSelector &homes_;
    HomeSender &sender_;
    ReplyEvaluator &replies_;
};

} // namespace waxwing
