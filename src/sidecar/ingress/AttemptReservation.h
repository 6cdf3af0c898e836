#pragma once

#include "include/base/Clock.h"

#include <functional>

namespace waxwing {

struct ForwardedRequest;

/** Why no further attempt of a request may be made. */
enum class AttemptDenial {
    /** It may be made. */
    None,
    /** The homes of all attempts that the route allows have run the request, or may have. */
    NoAttemptsLeft,
    /** Too little time is left, or nobody waits for the response any more. */
    NoTime,
    /** The retry budget is used up. */
    NoBudget,
};

/** Returns the value of "allowed" in the log event retry_requested. Thread safe. */
const char *attemptDenialName(AttemptDenial denial);

/**
 * Returns why a further attempt of @p request may not be made now, apart from the retry budget. @p latestStart: last
 * time at which its route may start one. Thread safe if nothing changes @p request.
 */
AttemptDenial denialOf(const ForwardedRequest &request, SteadyTime latestStart, SteadyTime now);

/** How reserveAttempt() checks a request and accounts an attempt. */
struct AttemptAccount {
    /** Returns why the attempt may not be made, as denialOf(). */
    std::function<AttemptDenial()> check;
    /** Takes the tokens for the attempt; false if the budget does not allow it. It may suspend the fiber. */
    std::function<bool()> spend;
    /** Puts the tokens back. */
    std::function<void()> refund;
};

/**
 * Takes the tokens for one more attempt. Checks the request again afterwards, since the caller may disconnect, and
 * other attempts may reach further homes, while tokens are transferred from other nodes. The tokens are put back if the
 * attempt may not be made then. Returns AttemptDenial::None if it may be made. @pre all functions of @p account are
 * set; called from a fiber if @c spend suspends it.
 */
AttemptDenial reserveAttempt(const AttemptAccount &account);

} // namespace waxwing
