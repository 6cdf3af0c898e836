#pragma once

#include "include/intent/ClassIntent.h"
#include "include/member/Record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace waxwing {

struct NodeCore;

/** Kind of the objects that hold intents. */
extern const char *const serviceKind;

/**
 * The configuration in force at this node. A few nodes, found by a hash that all compute alike, watch the object
 * API; the others learn through gossip, so that the number of waiting watches doesn't grow with the fleet. A
 * version is replaced only by a higher one, so configuration never goes back, whatever order news comes in.
 * Not thread safe.
 */
class IntentService
{
public:
    using ChangeHook = std::function<void(const std::string &service)>;

    /** Registers for records. @pre "gossip" is in the kernel. */
    explicit IntentService(NodeCore &core);
    void start();
    void onChange(ChangeHook hook);

    /** Null if no valid intent is in force. */
    std::shared_ptr<const ServiceIntent> find(const std::string &service) const;
    /** Revision in force of each service; deleted ones are included, as are ones whose newest version was refused. */
    std::map<std::string, std::uint64_t> revisions() const;
    /** Findings of the newest version, if it was refused; else empty. */
    std::string refusal(const std::string &service) const;
    std::size_t size() const;
    /** True once any configuration was learned. */
    bool hasAny() const;

private:
    struct Entry {
        std::uint64_t revision = 0;
        std::shared_ptr<const ServiceIntent> intent;
        std::string refusal;
    };

    void applyRecord(const Record &record);
    void watchLoop();
    bool isWatcher() const;

    NodeCore &core_;
    std::map<std::string, Entry> entries_;
    std::vector<ChangeHook> hooks_;
};

} // namespace waxwing
