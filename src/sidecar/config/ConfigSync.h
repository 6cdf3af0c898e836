#pragma once

#include "include/customer/KeyAdmission.h"
#include "include/fleet/FleetConfig.h"
#include "include/fleet/PendingProof.h"
#include "include/fleet/WatchElection.h"
#include "platform/ObjectApi.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class Freshness;
class StoreWatch;

/**
 * Keeps the newest configuration: watches the store or follows nodes that do, and applies what other nodes send. A
 * version is never replaced by a lower one, whatever its source. Not thread safe.
 */
class ConfigSync
{
public:
    using ChangeHook = std::function<void(const FleetConfig &)>;
    using DocumentHook = std::function<bool(const std::string &document, const std::string &source)>;

    /** @pre "region-watch" is in the kernel before start(). */
    ConfigSync(NodeCore &core, const KeyAdmissionTuning &keyAdmission);
    ~ConfigSync();
    ConfigSync(const ConfigSync &) = delete;
    ConfigSync &operator=(const ConfigSync &) = delete;
    /** Starts the watch. */
    void start();
    /** Adds a hook that is called after each change. Register before start(). */
    void onChange(ChangeHook hook);
    /**
     * Sets a hook that gets each document read from the store. It may suspend the fiber, and returns true if it has
     * applied the document itself.
     */
    void onStoreDocument(DocumentHook hook);
    /**
     * Applies the document if it is valid and its version is higher. Logs the faults of an invalid one. @p source:
     * where it came from, for the log. Returns false if it is invalid.
     */
    bool applyDocument(const std::string &document, const std::string &source);
    /** Returns null while no version is known. */
    std::shared_ptr<const FleetConfig> current() const;
    std::uint64_t version() const;
    /** Returns the freshness of the version in force. Other nodes that hold the same version may confirm it. */
    Freshness &freshness();
    /** Returns the time since the version in force was proven to be the newest; nothing if it may not be. */
    std::optional<Duration> provenAge() const;
    /**
     * Records that nothing newer than @p version existed at @p provenAt. If @p version is above the one in force, this
     * counts once it or a later one is in force.
     */
    void confirmProof(std::uint64_t version, SteadyTime provenAt);
    /** Returns true if the proof is so old that this node must look for a newer one by every path. */
    bool needsProof() const;
    /**
     * Returns true if the proof is recent enough that the next one can be requested at the usual interval.
     * @p fromReachable: it came from a peer that reaches the store and will soon have a newer one.
     */
    bool hasUsableProof(bool fromReachable) const;
    /** Polls the store at once instead of waiting for the watch, because a newer version is known to exist. */
    void requestPoll();
    /** Returns whether the store responded to the last call. */
    bool isStoreReachable() const;
    /** Returns true if a call for the configuration has ended. */
    bool hasCalledStore() const;

private:
    /** Applies a document that the store returned, by the hook if it takes it. Returns false if it is invalid. */
    bool applyStoreDocument(const std::string &document, const std::string &source);
    void handleChanges(const ObjectChanges &changes);

    WatchRole role() const;
    /** Returns the age by which this node's role is chosen. */
    std::optional<Duration> ageForRole() const;
    bool hasProofOlderThan(double fraction) const;
    void confirmPendingProof();

    NodeCore &core_;
    KeyAdmissionTuning keyAdmission_;
    /** A newer document was refused: the version in force is known not to be the newest. */
    bool hasRefusedNewer_ = false;
    std::shared_ptr<const FleetConfig> current_;
    /** The proof of a version above the one in force. */
    PendingProof pendingProof_;
    std::vector<ChangeHook> hooks_;
    DocumentHook storeDocumentHook_;
    std::unique_ptr<StoreWatch> watch_;
};

} // namespace waxwing
