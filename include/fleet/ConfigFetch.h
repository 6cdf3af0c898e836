#pragma once

#include "include/fleet/WatchElection.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/** What a node does next to obtain a newer configuration. */
struct ConfigFetchStep {
    enum class Kind {
        /** No newer version is known. */
        Nothing,
        /** Nothing before @c until, unless something is reported before. */
        Wait,
        /** Requests the document from @c peer. */
        AskPeer,
        /** Reads the store. */
        ReadStore,
    };
    Kind kind = Kind::Nothing;
    std::string peer;
    SteadyTime until;
    /** Stable code for logs. */
    const char *reason = "";
};

struct ConfigFetchTuning {
    /** The first requests for a version are spread over this time. */
    Millis firstAskJitter{60};
    /**
     * Time, plus up to the jitter, from a "not yet" or "busy" reply to the next request. The peer that gave it makes an
     * offer when it can deliver, so the next one is asked only in case that peer is lost.
     */
    Millis retryDelay{800};
    Millis retryJitter{200};
    /** A request that has got no reply for this time is given up for an offer: its peer may be busy decoding. */
    Millis offerPreemptsAfter{40};
    /** Time without a reply from the peer that was asked. Delivering and inflating takes a small node about 0.2 s. */
    Millis replyTimeout{350};
    /**
     * Time, plus up to the jitter, from the first sign that a node of the region holds the version, after which the
     * store is read although the region may still deliver. In a region of 650 nodes the last ones are served about a
     * second after the announcement.
     */
    Millis storeAfter{1200};
    Millis storeJitter{300};
    /**
     * Added for each doubling of the rank beyond firstReaders. Nodes that deliver to many read first, so that a lost
     * part of the tree costs a few reads and not one per node.
     */
    Millis storeGrowth{150};
    /** The times if no node of the region is known to hold the version. A watcher's own watch should have reported it.
     */
    Millis watcherStoreAfter{300};
    /** Number of nodes, after those that watch, that are the first to read. */
    std::size_t firstReaders = 4;
    /** The first ones by rank read before the others, so that a region whose watchers hang reads it a few times only.
     */
    Millis firstReaderStoreAfter{600};
    Millis otherStoreAfter{1700};
    /** A version that this node rejects must not cause continuous reads. */
    Millis storeInterval{700};
    /** Time for decoding a received document and having it confirmed, in which no stand-in is needed. */
    Millis settleTime{1500};
};

/** Number of nodes to which one node delivers by rank. */
constexpr std::size_t deliveryFanOut = 3;

/** Place of a node in the tree by which a document is delivered in its region. */
struct DeliveryPlace {
    /**
     * The nodes from which it gets the document: its parent, then others that are served about as early, different ones
     * for the children of one parent. Empty for the roots, which read the store.
     */
    std::vector<std::string> sources;
    /** The nodes to which it delivers the document. */
    std::vector<std::string> children;
    /** Number of nodes, without the roots, that come before it. */
    std::size_t rank = 0;
};

/**
 * Returns the place of @p self in the tree that the nodes of its region form in the order @p ranked, whose first
 * @p roots nodes read the store. All nodes with the same list agree, so the requests for a document are spread over the
 * region without messages. Thread safe.
 */
DeliveryPlace deliveryPlace(const std::vector<std::string> &ranked, std::size_t roots, const std::string &self);

/**
 * Decides from where a node reads a newer configuration: from a node of its region that delivers to it or that holds
 * the document, from the store, or from a node elsewhere. A large document read by each node from the store takes
 * seconds on the path between regions, so only the watchers do that as long as peers deliver in time. Performs no I/O
 * and takes the time as an argument. Not thread safe.
 */
class ConfigFetch
{
public:
    /** @p random: source of the jitter. */
    explicit ConfigFetch(std::function<std::uint64_t()> random, ConfigFetchTuning tuning = {});
    /** Sets the place of this node in its region, as of deliveryPlace(). */
    void setPlace(const DeliveryPlace &place);
    /** Records that @p peer holds @p version. */
    void noteHolder(std::uint64_t version, const std::string &peer, bool inRegion, SteadyTime now);
    /** The same from an announcement. A peer that was asked and did not deliver, or that delivers to this node by rank,
     * is asked next. */
    void noteOffer(std::uint64_t version, const std::string &peer, bool inRegion, SteadyTime now);
    /** Records a request to @p peer. */
    void noteSent(const std::string &peer, SteadyTime now);
    /** Records that @p peer replied without the document: it does not hold it yet, or is busy. */
    void noteUnavailable(const std::string &peer, SteadyTime now);
    /** Records that @p peer can't be reached. */
    void noteLost(const std::string &peer, SteadyTime now);
    /** Records that this node has the document of @p version, from any source, or has rejected it. */
    void noteReceived(std::uint64_t version, SteadyTime now);
    /**
     * Returns the next step. @p canUseStore: the store responded to this node's last call; otherwise nodes elsewhere
     * are asked too, without waiting for the region. A returned ReadStore counts as done; an AskPeer must be reported
     * by noteSent() or noteLost().
     */
    ConfigFetchStep next(WatchRole role, bool canUseStore, SteadyTime now);
    /** Returns true while a newer version is expected from peers in time, or has just arrived. */
    bool isDeliveryInTime(SteadyTime now) const;
    /** Returns when the newer version was first heard of; nothing if none is known. */
    std::optional<SteadyTime> newerSince() const;
    /** Returns true if a node of the region is known to hold @p version or a later one. */
    bool isHeldInRegion(std::uint64_t version) const;
    /** Returns the peer whose reply is awaited; nothing if there is none. */
    std::optional<std::string> pendingPeer() const;

private:
    struct Target {
        std::uint64_t version = 0;
        SteadyTime since;
        /** A node of the region has held it, though all such nodes may be lost since. */
        bool wasInRegion = false;
        /** When a node of the region was first known to hold it; nothing while none is. */
        std::optional<SteadyTime> inRegionSince;
        /** Added to the time at which the store is read. */
        Millis storeJitter{0};
    };
    struct Request {
        std::string peer;
        SteadyTime sentAt;
    };

    void setTarget(std::uint64_t version, SteadyTime now);
    Millis jitter(Millis limit) const;
    /** Returns when the store is read, as far as is known now. @pre there is a target. */
    SteadyTime storeAt(WatchRole role) const;
    /** Returns the peer to ask; empty if there is none. */
    std::string choosePeer(bool canUseStore);
    std::string randomOf(const std::set<std::string> &peers) const;

    std::function<std::uint64_t()> random_;
    ConfigFetchTuning tuning_;
    std::uint64_t received_ = 0;
    std::optional<Target> target_;
    std::vector<std::string> sources_;
    std::size_t rank_ = 0;
    WatchRole role_ = WatchRole::Watcher;
    std::set<std::string> regionHolders_;
    std::set<std::string> otherHolders_;
    /** Nodes that were asked for the target and have not delivered. */
    std::set<std::string> asked_;
    /** Nodes that could not be reached or did not reply, since they were last heard of. */
    std::set<std::string> lost_;
    std::string offeredBy_;
    std::size_t attempt_ = 0;
    std::optional<Request> request_;
    SteadyTime nextAskAt_;
    SteadyTime storeReadAt_;
    SteadyTime settledAt_;
};

} // namespace waxwing
