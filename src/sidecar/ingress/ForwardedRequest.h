#pragma once

#include "include/route/HomeSearch.h"
#include "src/fiber/FiberNotifier.h"
#include "src/sidecar/ingress/ForwardJob.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/** Shortest time before the deadline at which a request is still sent. */
constexpr Millis minTimeLeft{5};

/** Why an attempt is made. */
enum class AttemptKind {
    First,
    /** The previous attempt failed, or its outcome is unknown. */
    Retry,
    /** The previous attempt is slow. */
    Hedge,
};

/** One attempt to run a request. It moves from home to home until one accepts the request. */
struct ForwardAttempt {
    RunControlPtr control;
    bool ended = false;
    /** No node could report the outcome when it was queried. Queries continue until the attempt ends. */
    bool outcomeUnknown = false;
    WorkReply reply;
    std::string home;
    /** A server has received the request, or may have. */
    bool reachedServer = false;
};

using AttemptPtr = std::shared_ptr<ForwardAttempt>;

/** State of a request that is being forwarded, shared by the fibers of its attempts. Not thread safe. */
struct ForwardedRequest {
    /** @pre @p jobIn has a route and a control. */
    explicit ForwardedRequest(std::shared_ptr<const ForwardJob> jobIn);
    // The controls of the attempts refer to this object.
    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;

    /** Rank in the queues of homes, 0 is the most urgent. */
    int priority() const;
    /** Sets the rank for the retry budget to that of a request that a caller sent. */
    void useCallerBudgetRank();
    /** The same for a nested call. @p callerRank: rank of the request that waits for it, if known. */
    void useNestedBudgetRank(std::optional<int> callerRank);
    /** Returns why the request must not be sent any more; empty if it may be. */
    std::string keyProblem() const;
    /**
     * Returns the reason under which a request is refused that no home has room for: @p otherwise, unless a home
     * refused it because its nested calls would fail.
     */
    std::string refusalReason(const char *otherwise) const;
    /** Returns true if the request may be retried or hedged at all. */
    bool isRetryable() const;

    /**
     * Adds an attempt that has not ended. Its control reports a lost outcome to this request, so that the request must
     * be kept until the attempt ends.
     */
    AttemptPtr addAttempt();
    std::size_t endedAttempts() const;
    bool allEnded() const;
    /** Returns true if no attempt can still report an outcome soon: each has ended or its outcome is unknown. */
    bool nonePending() const;
    /** Returns true if all attempts have ended and none has run the request. */
    bool hasNotRun() const;
    /** Returns an attempt whose server has run the request without a fault; nullptr if there is none. */
    AttemptPtr succeededAttempt() const;
    /** Updates lastReply with the attempts that have ended. @pre at least one has ended. */
    void evaluateReplies();
    /** Cancels the attempts that have not ended. */
    void cancelPending();
    /** Cancels all attempts, including those that have ended. */
    void cancelAll();
    /** Cancels the attempts that are queued at a home; no further home is tried. */
    void cancelQueued();

    std::shared_ptr<const ForwardJob> jobPtr;
    const ForwardJob &job;
    /** End of the response time objective; for a nested call, the deadline. */
    SteadyTime objective;
    /** Made by the server beside this node on behalf of a request that it runs. */
    bool nestedCall = false;
    /** Rank for the retry budget; a nested call has the rank of the request that waits for it. */
    int budgetRank = 0;
    FiberNotifier notifier;
    std::vector<AttemptPtr> attempts;
    HomeSearch search;
    /** Homes whose server has run the request, or may have; their number is limited by the route's maxAttempts. */
    std::set<std::string> reachedHomes;
    /** Homes to which the request was sent. */
    std::set<std::string> triedHomes;
    /** Number of slot reservations made for the request. */
    std::size_t reservationsMade = 0;
    /** The outcome of an attempt could not be queried, and no retry has been considered since. */
    bool hasLostAttempt = false;
    /** A retry was allowed but no home accepted it. */
    bool noOtherHome = false;
    /** This node is stopping, or the key was taken away: queued attempts are cancelled and no further home is tried. */
    bool queuedCancelled = false;
    /** Attempts that wait for a slot; a hedge would find none either. */
    int waitingForSlot = 0;
    /** Number of refusals by homes that expect the request's nested calls to fail. */
    int callsUnserved = 0;
    /** A hedge or a retry was made, or a hedge was denied: no further hedge is made. */
    bool hedged = false;
    /** Number of ended attempts that evaluateReplies() has seen. */
    std::size_t evaluated = 0;
    /** Reply returned if no attempt succeeds; nothing before an attempt has ended. */
    std::optional<WorkReply> lastReply;
    bool finished = false;
};

using ForwardedRequestPtr = std::shared_ptr<ForwardedRequest>;

} // namespace waxwing
