#pragma once

#include "include/fleet/FleetConfig.h"
#include "platform/ObjectApi.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class Freshness;
class StoreWatch;

/**
 * Keeps the newest configuration: watches the store, or follows nodes that do, and takes what other nodes learned. A
 * version is never replaced by a lower one, whichever way it comes. Not thread safe.
 */
class ConfigSync
{
public:
    using ChangeHook = std::function<void(const FleetConfig &)>;

    /** @pre "region-watch" is in the kernel before start(). */
    explicit ConfigSync(NodeCore &core);
    ~ConfigSync();
    ConfigSync(const ConfigSync &) = delete;
    ConfigSync &operator=(const ConfigSync &) = delete;
    /** Starts the watch. */
    void start();
    /** Called after each change; register before start(). */
    void onChange(ChangeHook hook);
    /** Takes the document if its version is higher. @p source says in the log where it came from. */
    void applyDocument(const std::string &document, const std::string &source);
    /** Null as long as none is known. */
    std::shared_ptr<const FleetConfig> current() const;
    std::uint64_t version() const;
    /** What is known of the age of the version in force; other nodes that hold the same may confirm it. */
    Freshness &freshness();
    /** A newer version is known to exist: asks the store at once instead of waiting to be told. */
    void requestPoll();
    /** True while the store answers. */
    bool isStoreReachable() const;

private:
    void handleChanges(const ObjectChanges &changes);

    NodeCore &core_;
    std::shared_ptr<const FleetConfig> current_;
    std::vector<ChangeHook> hooks_;
    std::unique_ptr<StoreWatch> watch_;
};

} // namespace waxwing
