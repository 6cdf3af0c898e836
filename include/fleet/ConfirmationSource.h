#pragma once

#include "include/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

struct ConfirmationSourceTuning {
    /**
     * Time without a reply after which another peer is asked. It must be asked within 300 ms, and the check for it may
     * run 20 ms late.
     */
    Millis replyTimeout{250};
    /** Minimum interval between two requests while peers reply without confirming. */
    Millis minInterval{50};
    /** Minimum interval between the start of a round and that of the next one, after a confirmation. */
    Millis roundInterval{400};
    /** Requests of one round. The first ones go to the region, the others to other regions. */
    std::size_t requestsPerRound = 4;
    std::size_t regionRequestsPerRound = 2;
    /** Pause after a round without a confirmation. It doubles up to the maximum, which limits requests in an outage. */
    Millis roundPause{400};
    Millis maxRoundPause{800};
    /** A peer that did not confirm is asked again after this time, or if there is no other one. */
    Millis avoidFor{4000};
    /** Time for which a node of another region that confirmed is asked first. Then the region is tried again. */
    Millis preferFor{4000};
};

/** The peers that may confirm the configuration of a node. */
struct ConfirmationCandidates {
    /** Nodes of this node's region that watch the store. */
    std::vector<std::string> watchers;
    /** All nodes of the region to which a link is open. */
    std::vector<std::string> region;
    /** Nodes of other regions to which a link is open. */
    std::vector<std::string> elsewhereLinked;
    /** Nodes of other regions. A link to one of them is opened only for want of an open one. */
    std::vector<std::string> elsewhere;
};

/** A peer to ask for a confirmation. */
struct ConfirmationRequest {
    std::string peer;
    bool otherRegion = false;
    /** Number of the peers asked before in this round. */
    std::size_t attempt = 0;
};

/**
 * Chooses the peers that a node asks to confirm that its configuration is the newest. A round asks one peer after the
 * other until one confirms: watchers of the region, another node of the region, then nodes of other regions, since the
 * store can refuse a whole region. Nodes of other regions are chosen at random, so that a refused region does not send
 * all of its requests to a few nodes. Performs no I/O and takes the time as an argument. Not thread safe.
 */
class ConfirmationSource
{
public:
    explicit ConfirmationSource(std::function<std::uint64_t()> random, ConfirmationSourceTuning tuning = {});
    /** Returns when next() may return a request. */
    SteadyTime nextAt() const;
    /** Returns the peer to ask now; nothing if the last one still has time to reply, or if there is none to ask. */
    std::optional<ConfirmationRequest> next(const ConfirmationCandidates &candidates, SteadyTime now);
    /** Records a confirmation by @p peer that is recent enough. */
    void noteConfirmed(const std::string &peer, SteadyTime now);
    /** Records that @p peer replied without a recent confirmation, or could not be reached. */
    void noteFailed(const std::string &peer, SteadyTime now);

private:
    bool isAvoided(const std::string &peer, SteadyTime now) const;
    std::string choose(const std::vector<std::string> &peers, SteadyTime now) const;
    std::string chooseInRegion(const ConfirmationCandidates &candidates, SteadyTime now) const;
    std::string chooseElsewhere(const ConfirmationCandidates &candidates, SteadyTime now) const;
    void removeExpired(SteadyTime now);
    void endFailedRound(SteadyTime now);

    std::function<std::uint64_t()> random_;
    ConfirmationSourceTuning tuning_;
    /** Peers that did not confirm, and until when they are not asked. */
    std::map<std::string, SteadyTime> avoidedUntil_;
    /** The node of another region that confirmed last; asked first until the given time. */
    std::string preferred_;
    SteadyTime preferredUntil_;
    /** The peer whose reply is awaited; empty if none. */
    std::string pending_;
    bool isPendingElsewhere_ = false;
    std::size_t attempt_ = 0;
    SteadyTime roundStartedAt_;
    SteadyTime nextAt_;
    Millis pause_;
};

} // namespace waxwing
