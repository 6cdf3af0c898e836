#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/base/Ids.h"
#include "include/intent/ClassIntent.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/** Pledge of one home: it keeps at least @c pledge servers in service, of the @c capacity it has or had recently. */
struct Pledge {
    NodeRef home;
    std::uint32_t pledge = 0;
    std::uint32_t capacity = 0;
};

/** The object in the platform's store with every home's pledge for one service. */
struct PledgeTable {
    /** Version of the object; 0 if it does not exist. */
    std::uint64_t version = 0;
    std::vector<Pledge> pledges;

    const Pledge *find(const NodeRef &home) const;
    /** Adds or replaces the pledge of @p home. */
    void set(const Pledge &pledge);
    void erase(const NodeRef &home);
    std::string json() const;
    /** Parses the JSON text of a table. Errors: Malformed. Thread safe. */
    static Expected<PledgeTable> parse(std::uint64_t version, const std::string &json);
};

/** Returns how many servers must stay in service, by @p floor and the capacity in @p table. Thread safe. */
std::uint32_t requiredServers(const CapacityFloor &floor, const PledgeTable &table);

/**
 * One home's part in a service's healthy capacity floor.
 *
 * Prevents several homes that do not know each other's decisions from ejecting more servers together than the floor
 * allows. Whenever a pledge is lowered, the pledges in the table still add up to at least the floor, because a pledge
 * is lowered only by a conditional update that checks the sum. A home assumes its own pledge to be at least the one in
 * the table: it raises the assumed pledge before the write, and lowers it only after the write is known to have taken
 * effect. The servers that the homes keep therefore add up to the floor even if a home is paused, cut off or without
 * the store. Not thread safe.
 */
class HomeFloor
{
public:
    /** Returns the servers in service at another home, or nothing if that incarnation is not up. */
    using InServiceOf = std::function<std::optional<std::uint32_t>(const NodeRef &)>;

    HomeFloor(NodeRef self, InServiceOf inServiceOf);

    void setFloor(const CapacityFloor &floor);
    /**
     * Records that @p inService of @p announced servers here are healthy now. For the floor, a larger number of
     * announced servers counts for a while after servers were lost.
     */
    void setCapacity(std::uint32_t announced, std::uint32_t inService, SteadyTime now);

    /**
     * Returns true if the floor still holds after one more ejection here. False while the table has no pledge of this
     * home.
     */
    bool mayEject() const;
    /** Records that an ejection was not allowed: other homes' pledges may have changed since the table was read. */
    void noteEjectionBlocked();
    /**
     * Returns true if a newer table may allow more: after a blocked ejection, or if a home of @p homes is not in the
     * table.
     */
    bool needsRefresh(const std::vector<NodeRef> &homes) const;
    /**
     * Sets the table as just read from the store, unless the known version is the same or newer. @pre no proposal is in
     * progress.
     */
    void updateTable(PledgeTable current);
    /** Returns how many servers this home must keep in service now. */
    std::uint32_t mustKeep() const;
    std::uint32_t pledge() const;
    /** Returns the table as last read or written. */
    const PledgeTable &knownTable() const;

    /**
     * Returns the table with the change that this home wants, to be written on condition of the table's version, or
     * nothing if it wants none. @p mayAbsorb: this is the one home of the service that takes over the pledges of
     * departed homes.
     */
    std::optional<PledgeTable> proposal(bool mayAbsorb = true);
    /** Records that the last proposal took effect and that the table now has @p version. */
    void accepted(std::uint64_t version);
    /**
     * Drops the last proposal. @p current: the table in the store, if the write failed because of its version; used if
     * it is newer. Without @p current, as after a lost reply, the write may have taken effect: the assumed pledge stays
     * as raised by proposal().
     */
    void rejected(std::optional<PledgeTable> current);

private:
    std::uint32_t coveredByOthers(const PledgeTable &table) const;
    bool absorbDepartedHome(PledgeTable &table, Pledge &mine) const;
    bool moveTowardsFairShare(PledgeTable &table, Pledge &mine) const;

    NodeRef self_;
    InServiceOf inServiceOf_;
    CapacityFloor floor_;
    PledgeTable table_;
    std::optional<PledgeTable> pending_;
    /** Never less than this home's pledge in the store. */
    std::uint32_t assumedPledge_ = 0;
    bool registered_ = false;
    bool blocked_ = false;
    std::uint32_t capacity_ = 0;
    SteadyTime capacitySince_;
    std::uint32_t inService_ = 0;
};

} // namespace waxwing
