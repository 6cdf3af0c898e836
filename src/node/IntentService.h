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
 * The configuration in force at this node. A few nodes, chosen by a hash that every node computes alike, watch the
 * object API. The others receive updates by gossip, so the number of open watches doesn't grow with the fleet. A
 * version is replaced only by a higher one, so the configuration never reverts, whatever the order in which updates
 * arrive. Not thread safe.
 */
class IntentService
{
public:
    using ChangeHook = std::function<void(const std::string &service)>;

    /** Registers for gossip records. @pre "gossip" is in the kernel. */
    explicit IntentService(NodeCore &core);
    void start();
    void onChange(ChangeHook hook);

    /** Returns the intents of a service, or null if no valid version is in force. */
    std::shared_ptr<const ServiceIntent> find(const std::string &service) const;
    /**
     * Returns the newest revision of each service, including deleted services and services whose newest version was
     * refused.
     */
    std::map<std::string, std::uint64_t> revisions() const;
    /** Returns the findings of the newest version if it was refused, else an empty string. */
    std::string refusal(const std::string &service) const;
    std::size_t size() const;
    /** Returns true once any configuration has been received. */
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
