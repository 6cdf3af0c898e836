#pragma once

#include "include/base/Clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace waxwing {

struct ConfigDeliveryTuning {
    /** Assumed rate of the narrowest links, 10 Mbit/s. The end of a delivery isn't reported, so it is computed. */
    std::size_t bytesPerSecond = 1'250'000;
    /** Deliveries at a time; the second uses the link while the first waits for the receiver's processor. */
    std::size_t parallel = 2;
    /** Waiting nodes that are remembered; further ones ask again by themselves. */
    std::size_t maxWaiting = 64;
    Millis offerInterval{40};
    /** Time for a node that got an offer to ask. */
    Millis offerValidFor{120};
};

/**
 * Bounds the deliveries of a configuration document by one node, and remembers the nodes that asked while it was busy,
 * to which it offers the document later. Performs no I/O and takes the time as an argument. Not thread safe.
 */
class ConfigDelivery
{
public:
    explicit ConfigDelivery(ConfigDeliveryTuning tuning = {});
    /** Starts a delivery of @p bytes. Returns false if the node is busy with others. */
    bool tryStart(std::size_t bytes, SteadyTime now);
    /** Remembers that @p peer waits for the document, which it asked for without getting it, or which this node
     * delivers to it. */
    void addWaiting(const std::string &peer);
    void removeWaiting(const std::string &peer);
    /** Takes out the peers to which the document is offered now; none if the node is busy. @pre it holds the document.
     */
    std::vector<std::string> takeOffers(SteadyTime now);
    bool hasWaiting() const;
    /** Returns true while a delivery is in progress, or a node may still ask after an offer. */
    bool isActive(SteadyTime now) const;

private:
    ConfigDeliveryTuning tuning_;
    SteadyTime busyUntil_;
    SteadyTime nextOfferAt_;
    Duration lastLength_{0};
    std::deque<std::string> waiting_;
    /** The nodes that got an offer and have not asked, and how long they may. */
    std::map<std::string, SteadyTime> offered_;
};

} // namespace waxwing
