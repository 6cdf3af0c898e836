#pragma once

#include "include/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace waxwing::testing {

/** How a large document reaches the nodes of a region. */
enum class ConfigPath {
    /** The watchers announce it when it is in force; the others read the store 0.3 s later, and again as stand-ins. */
    StoreAfterAnnouncement,
    /** The watchers send it to all nodes of their region, before they decode it. */
    PushedByWatchers,
    /** ConfigFetch without a tree: nodes ask those that are known to hold it. */
    AnyHolder,
    /** The decisions of the production code: ConfigFetch, ConfigDelivery, deliveryPlace(). */
    Tree,
};

/** One new version that the store acknowledges at time 0. Processor times are those on a whole core. */
struct ConfigFleetLoad {
    int regions = 2;
    int nodesPerRegion = 48;
    std::size_t documentBytes = 750'000;
    /** Size of the document on links between nodes, whose messages are compressed. */
    std::size_t bytesOnLink = 107'000;
    double linkMbit = 13.0;
    double pathMbit = 60.0;
    double coreShare = 0.1;
    Millis decodeTime{100};
    /** Reading the store's response, and finding the version in it. */
    Millis readTime{15};
    /** Compressing the document, once per node that read it from the store. */
    Millis deflateTime{4};
    /** Sending the compressed document on one link. 7 if each link compresses it again. */
    Millis sendTime{1};
    Millis receiveTime{2};
    Millis delayInRegion{2};
    Millis delayBetweenRegions{8};
    /** Messages about work of each node to random nodes, which tell the version in force. */
    double workPerSecond = 5.0;
    /** The watchers of the last region hang from the start. */
    bool watchersHang = false;
    /** When one node of each region that delivers to others is killed. */
    std::vector<Millis> kills;
    std::uint64_t seed = 1;
};

struct ConfigFleetOutcome {
    /** When the version was in force at half of the surviving nodes, and at the last one. */
    Millis median{0};
    Millis last{0};
    bool isComplete = false;
    int storeReads = 0;
    /** Most reads of the store at the same time. */
    int storeReadsAtOnce = 0;
    std::size_t pathBytes = 0;
    /** Documents sent by the node that sent the most, and most of them at the same time. */
    int busiestSender = 0;
    int deliveriesAtOnce = 0;
    int requests = 0;
    int refusedRequests = 0;
};

/**
 * Runs the load in a model without a network. Links, the path between regions and processors serve one transfer or
 * task after the other; lost messages and TCP are not modelled. Thread safe.
 */
ConfigFleetOutcome runConfigFleet(const ConfigFleetLoad &load, ConfigPath path);

} // namespace waxwing::testing
