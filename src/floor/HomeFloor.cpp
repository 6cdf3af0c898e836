#include "include/floor/HomeFloor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/**
 * For this long, lost servers stay in the capacity of which the floor is a share, so that crashes are not followed by
 * ejections.
 */
constexpr Millis capacityRetention = std::chrono::minutes(15);

} // namespace

const Pledge *PledgeTable::find(const NodeRef &home) const
{
    const auto found =
        std::find_if(pledges.begin(), pledges.end(), [&](const Pledge &one) { return one.home == home; });
    return found == pledges.end() ? nullptr : &*found;
}

void PledgeTable::set(const Pledge &pledge)
{
    erase(pledge.home);
    pledges.push_back(pledge);
}

void PledgeTable::erase(const NodeRef &home)
{
    pledges.erase(std::remove_if(pledges.begin(), pledges.end(), [&](const Pledge &one) { return one.home == home; }),
                  pledges.end());
}

std::string PledgeTable::json() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Pledge &one : pledges) {
        list.push_back({{"home", one.home.id},
                        {"incarnation", one.home.incarnation},
                        {"pledge", one.pledge},
                        {"capacity", one.capacity}});
    }
    return nlohmann::json{{"pledges", list}}.dump();
}

Expected<PledgeTable> PledgeTable::parse(std::uint64_t version, const std::string &text)
{
    try {
        PledgeTable table;
        table.version = version;
        const nlohmann::json document = nlohmann::json::parse(text);
        for (const nlohmann::json &one : document.at("pledges")) {
            table.pledges.push_back(
                Pledge{{one.at("home").get<std::string>(), one.at("incarnation").get<std::uint64_t>()},
                       one.at("pledge").get<std::uint32_t>(),
                       one.at("capacity").get<std::uint32_t>()});
        }
        return table;
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorCode::Malformed, std::string("pledge table: ") + error.what());
    }
}

std::uint32_t requiredServers(const CapacityFloor &floor, const PledgeTable &table)
{
    std::uint32_t capacity = 0;
    for (const Pledge &one : table.pledges) {
        capacity += one.capacity;
    }
    const auto byShare = static_cast<std::uint32_t>(std::ceil(floor.share * capacity - 1e-9));
    return std::max(floor.servers, byShare);
}

HomeFloor::HomeFloor(NodeRef self, InServiceOf inServiceOf)
    : self_(std::move(self))
    , inServiceOf_(std::move(inServiceOf))
{ }

void HomeFloor::setFloor(const CapacityFloor &floor)
{
    floor_ = floor;
}

void HomeFloor::setCapacity(std::uint32_t announced, std::uint32_t inService, SteadyTime now)
{
    inService_ = inService;
    if (announced >= capacity_ || now - capacitySince_ >= capacityRetention) {
        capacity_ = announced;
        capacitySince_ = now;
    }
}

std::uint32_t HomeFloor::coveredByOthers(const PledgeTable &table) const
{
    std::uint32_t covered = 0;
    for (const Pledge &one : table.pledges) {
        if (one.home == self_) {
            continue;
        }
        // A pledge counts only as far as its home has servers in service. A departed home has none.
        covered += std::min(one.pledge, inServiceOf_(one.home).value_or(0));
    }
    return covered;
}

std::uint32_t HomeFloor::mustKeep() const
{
    const std::uint32_t required = requiredServers(floor_, table_);
    const std::uint32_t covered = coveredByOthers(table_);
    return std::max(assumedPledge_, required > covered ? required - covered : 0);
}

bool HomeFloor::mayEject() const
{
    return registered_ && inService_ >= 1 && inService_ - 1 >= mustKeep();
}

void HomeFloor::noteEjectionBlocked()
{
    blocked_ = true;
}

bool HomeFloor::needsRefresh(const std::vector<NodeRef> &homes) const
{
    const bool hasAll = std::all_of(homes.begin(), homes.end(), [this](const NodeRef &home) {
        return home == self_ || table_.find(home) != nullptr;
    });
    return blocked_ || !hasAll;
}

void HomeFloor::updateTable(PledgeTable current)
{
    blocked_ = false;
    rejected(std::move(current));
}

std::uint32_t HomeFloor::pledge() const
{
    return assumedPledge_;
}

const PledgeTable &HomeFloor::knownTable() const
{
    return table_;
}

bool HomeFloor::absorbDepartedHome(PledgeTable &table, Pledge &mine) const
{
    for (const Pledge &departed : table.pledges) {
        if (departed.home == self_ || inServiceOf_(departed.home).has_value()) {
            continue;
        }
        const std::uint32_t spare = inService_ > mine.pledge ? inService_ - mine.pledge : 0;
        const std::uint32_t moved = std::min(spare, departed.pledge);
        if (moved == 0 && departed.pledge > 0) {
            continue;
        }
        mine.pledge += moved;
        Pledge remainder = departed;
        remainder.pledge -= moved;
        // The moved and the remaining part add up to the earlier pledge, so the sum does not change.
        table.erase(remainder.home);
        if (remainder.pledge > 0) {
            table.set(remainder);
        }
        return true;
    }
    return false;
}

bool HomeFloor::moveTowardsFairShare(PledgeTable &table, Pledge &mine) const
{
    const std::uint32_t required = requiredServers(floor_, table);
    const std::uint32_t covered = coveredByOthers(table);
    std::uint32_t total = 0;
    for (const Pledge &one : table.pledges) {
        total += one.capacity;
    }
    const double exact = total == 0 ? required : static_cast<double>(required) * mine.capacity / total;
    const auto fair = std::min<std::uint32_t>(mine.capacity, static_cast<std::uint32_t>(exact));
    const std::uint32_t minimum = required > covered ? required - covered : 0;
    // Shares are rounded down. A pledge is lowered only as far as it and the covered pledges of the others still add
    // up to the floor, so the home that lowers its pledge last keeps the remainder.
    const std::uint32_t wanted = std::max(fair, std::min(minimum, mine.capacity));
    if (wanted == mine.pledge || (wanted < mine.pledge && covered + wanted < required)) {
        return false;
    }
    mine.pledge = wanted;
    return true;
}

std::optional<PledgeTable> HomeFloor::proposal(bool mayAbsorb)
{
    if (capacity_ == 0 && !registered_) {
        return std::nullopt;
    }
    PledgeTable next = table_;
    const Pledge *known = next.find(self_);
    Pledge mine = known != nullptr ? *known : Pledge{self_, capacity_, capacity_};
    bool changed = known == nullptr || mine.capacity != capacity_;
    mine.capacity = capacity_;
    next.set(mine);
    if (known != nullptr) {
        changed = (mayAbsorb && absorbDepartedHome(next, mine)) || moveTowardsFairShare(next, mine) || changed;
        next.set(mine);
    }
    if (!changed) {
        return std::nullopt;
    }
    // Raised before the write: if the reply is lost, the home keeps the stricter pledge.
    assumedPledge_ = std::max(assumedPledge_, mine.pledge);
    pending_ = next;
    return next;
}

void HomeFloor::accepted(std::uint64_t version)
{
    if (!pending_) {
        return;
    }
    table_ = *pending_;
    table_.version = version;
    pending_.reset();
    registered_ = true;
    assumedPledge_ = table_.find(self_)->pledge;
}

void HomeFloor::rejected(std::optional<PledgeTable> current)
{
    pending_.reset();
    if (!current || current->version <= table_.version) {
        return;
    }
    table_ = std::move(*current);
    const Pledge *mine = table_.find(self_);
    registered_ = mine != nullptr;
    // Without an entry, another home considered this one departed and absorbed its pledge. This home registers
    // again.
    assumedPledge_ = mine != nullptr ? mine->pledge : capacity_;
}

} // namespace waxwing
