#pragma once

#include "src/sidecar/WorkSender.h"
#include "src/sidecar/ingress/ForwardedRequest.h"

#include <cstdint>

namespace waxwing {

struct HomeChoice;
struct NodeCore;
class HomeRanking;
class LocalHome;
class RetryGate;

/** How one send of a request to a home ended, with its times and size. */
struct HomeSend {
    SendResult result;
    SteadyTime started;
    SteadyTime ended;
    std::size_t requestBytes = 0;
};

/** Sends requests to their chosen homes, at this or another node. Does not evaluate the replies. Not thread safe. */
class HomeSender
{
public:
    /** The arguments must outlive this object. */
    HomeSender(NodeCore &core, LocalHome &home, WorkSender &sender, HomeRanking &ranking, const RetryGate &retries);

    /**
     * Sends the request to the home of @p choice and waits for the end. Until the reply is evaluated, the home counts
     * as one that has run the request. @p reservation: id of the reservation for which the home holds a slot; 0: none.
     * @pre called from a fiber; @p choice has a node.
     */
    HomeSend send(const ForwardedRequestPtr &request, const AttemptPtr &attempt, const HomeChoice &choice,
                  std::uint64_t reservation);

private:
    Work workOf(const ForwardedRequest &request, const HomeChoice &choice, std::uint64_t reservation,
                SteadyTime now) const;
    /** Runs @p work at the server beside this node or sends it to another node. */
    SendResult dispatch(const ForwardJob &job, const ForwardAttempt &attempt, Work work);

    NodeCore &core_;
    LocalHome &home_;
    WorkSender &sender_;
    HomeRanking &ranking_;
    const RetryGate &retries_;
    std::uint64_t nextLocalWork_ = 1;
};

} // namespace waxwing
