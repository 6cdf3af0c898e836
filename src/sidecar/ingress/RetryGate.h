#pragma once

#include "include/wire/Messages.h"

namespace waxwing {

struct ForwardedRequest;
struct NodeCore;
class RetryBudgetService;
class RouteStats;
class StartLimit;
enum class RetryReason;

/** Decides on further attempts of requests and accounts them in the fleet's retry budget. Not thread safe. */
class RetryGate
{
public:
    /** The arguments must outlive this object. */
    RetryGate(NodeCore &core, RetryBudgetService &budgets, const RouteStats &stats, const StartLimit &startLimit);

    /** Returns true if the request can be retried when the next attempt fails. Takes no tokens. */
    bool canRetry(const ForwardedRequest &request) const;
    /**
     * Takes the tokens for one more attempt after a failure from the retry budget. Returns false if the attempt must
     * not be made. @p why is logged. @pre called from a fiber; it may wait for tokens of other nodes.
     */
    bool reserveRetry(const ForwardedRequest &request, const char *why);
    /** The same for a hedge of a slow attempt. @pre called from a fiber. */
    bool reserveHedge(const ForwardedRequest &request);
    /** Puts the tokens of an attempt that reached no server back into the retry budget. */
    void refund(const ForwardedRequest &request);

private:
    bool reserve(const ForwardedRequest &request, RetryReason reason, const char *why);
    /** Returns the retry budget tokens that one more attempt costs, by service, nested calls included. */
    CallRates costOf(const ForwardedRequest &request) const;
    /** Returns the reason under which a retry after a failure is accounted. */
    RetryReason reasonOf(const ForwardedRequest &request) const;

    NodeCore &core_;
    RetryBudgetService &budgets_;
    const RouteStats &stats_;
    const StartLimit &startLimit_;
};

} // namespace waxwing
