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

/** What one home promised: to keep at least @c pledge servers in service, of the @c capacity it has seen. */
struct Pledge {
    NodeRef home;
    std::uint32_t pledge = 0;
    std::uint32_t capacity = 0;
};

/** The object in the platform's store that holds every home's pledge for one service. */
struct PledgeTable {
    /** Version of the object; 0: it does not exist. */
    std::uint64_t version = 0;
    std::vector<Pledge> pledges;

    const Pledge *find(const NodeRef &home) const;
    /** Sets or adds the pledge of @p home. */
    void set(const Pledge &pledge);
    void erase(const NodeRef &home);
    std::string json() const;
    /** Errors: Malformed. Thread safe. */
    static Expected<PledgeTable> parse(std::uint64_t version, const std::string &json);
};

/** Servers that must stay in service, by @p floor and the capacity in @p table. Thread safe. */
std::uint32_t requiredServers(const CapacityFloor &floor, const PledgeTable &table);

/**
 * One home's part in a service's healthy capacity floor.
 *
 * Guards against several homes, none of which knows what the others do, ejecting more servers together than the
 * floor allows. The sheet's pledges add up to the floor or more whenever one is lowered, since a pledge is lowered
 * only by a conditional update that checks the sum; and a home believes its own pledge to be at least what the
 * sheet says, because it raises its belief before it writes and lowers it after the write is known to have
 * taken effect. So what the homes keep adds up to the floor, whoever is paused, cut off or without the store.
 * Not thread safe.
 */
class HomeFloor
{
public:
    /** Servers in service at another home, or nothing if that incarnation is not up. */
    using InServiceOf = std::function<std::optional<std::uint32_t>(const NodeRef &)>;

    HomeFloor(NodeRef self, InServiceOf inServiceOf);

    void setFloor(const CapacityFloor &floor);
    /** @p inService of @p announced servers here are healthy now. */
    void setCapacity(std::uint32_t announced, std::uint32_t inService, SteadyTime now);

    /** True if one more ejection here leaves the floor whole. */
    bool mayEject() const;
    /** An ejection was wanted and not allowed: what the others pledge may have changed since this home last looked. */
    void noteEjectionBlocked();
    /** True if a look at the sheet may allow more: after a blocked ejection, or when a home of @p homes is not in it.
     */
    bool needsRefresh(const std::vector<NodeRef> &homes) const;
    /** Takes the sheet as it was just read. @pre no proposal is under way. */
    void updateTable(PledgeTable current);
    /** Servers that this home must keep in service now, for explanations. */
    std::uint32_t mustKeep() const;
    std::uint32_t pledge() const;
    /** The sheet as this home last knew it. */
    const PledgeTable &knownTable() const;

    /**
     * The change to the sheet that this home wants, to be written on condition of the sheet's version. @p mayAbsorb:
     * this home is the one of the service's homes that takes over the pledges of homes that are gone.
     */
    std::optional<PledgeTable> proposal(bool mayAbsorb = true);
    /** The last proposal took effect and the sheet has @p version. */
    void accepted(std::uint64_t version);
    /** Somebody else's version stands. Without @p current only the proposal is dropped, as when an answer is lost. */
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
    /** Never below this home's pledge in the store. */
    std::uint32_t assumedPledge_ = 0;
    bool registered_ = false;
    bool blocked_ = false;
    std::uint32_t capacity_ = 0;
    SteadyTime capacitySince_;
    std::uint32_t inService_ = 0;
};

} // namespace waxwing
