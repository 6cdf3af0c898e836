#include "include/fleet/CustomerTable.h"

#include <algorithm>
#include <cstring>
#include <random>

#include <xxhash.h>

namespace waxwing {

namespace {

// A record: priority, rate, burst, length of the name, name, number of keys, then length and bytes of each key.
constexpr std::size_t rateOffset = 1;
constexpr std::size_t burstOffset = rateOffset + sizeof(float);
constexpr std::size_t nameLengthOffset = burstOffset + sizeof(float);
constexpr std::size_t nameOffset = nameLengthOffset + 1;
constexpr std::uint8_t noPriority = 255;

constexpr std::uint32_t emptySlot = 0xffffffffU;
/** Belongs to no customer: several hold the key. */
constexpr std::uint32_t conflictSlot = 0xfffffffeU;
/** Slots per key. */
constexpr double slotsPerKey = 1.25;
constexpr unsigned tagShift = 56;

std::uint8_t byteAt(const std::string &records, std::size_t offset)
{
    return static_cast<std::uint8_t>(records[offset]);
}

float floatAt(const std::string &records, std::size_t offset)
{
    float value = 0.0F;
    std::memcpy(&value, records.data() + offset, sizeof(value));
    return value;
}

void append(std::string &records, double value)
{
    const auto rounded = static_cast<float>(value);
    records.append(reinterpret_cast<const char *>(&rounded), sizeof(rounded));
}

void append(std::string &records, std::string_view text)
{
    records.push_back(static_cast<char>(text.size()));
    records.append(text);
}

} // namespace

bool QuotaLimit::isUnlimited() const
{
    return ratePerSecond <= 0.0;
}

bool QuotaLimit::operator==(const QuotaLimit &other) const
{
    return ratePerSecond == other.ratePerSecond && burst == other.burst;
}

bool QuotaLimit::operator!=(const QuotaLimit &other) const
{
    return !(*this == other);
}

CustomerTable::CustomerTable(std::uint64_t secret)
    : secret_(secret)
{ }

std::uint64_t CustomerTable::processSecret()
{
    static const std::uint64_t secret = [] {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }();
    return secret;
}

void CustomerTable::add(const Customer &customer, const std::vector<std::string> &keys)
{
    records_.push_back(static_cast<char>(customer.priority.value_or(noPriority)));
    append(records_, customer.quota.ratePerSecond);
    append(records_, customer.quota.burst);
    append(records_, customer.name);
    records_.push_back(static_cast<char>(keys.size()));
    for (const std::string &key : keys) {
        append(records_, std::string_view(key));
    }
    ++customers_;
    keys_ += keys.size();
}

std::uint64_t CustomerTable::hashOf(std::string_view key) const
{
    return XXH3_64bits_withSeed(key.data(), key.size(), secret_);
}

Customer CustomerTable::customerAt(std::size_t record) const
{
    Customer customer;
    const std::uint8_t priority = byteAt(records_, record);
    if (priority != noPriority) {
        customer.priority = priority;
    }
    customer.quota.ratePerSecond = floatAt(records_, record + rateOffset);
    customer.quota.burst = floatAt(records_, record + burstOffset);
    customer.name = std::string_view(records_).substr(record + nameOffset, byteAt(records_, record + nameLengthOffset));
    return customer;
}

std::string_view CustomerTable::keysAt(std::size_t record) const
{
    std::size_t offset = record + nameOffset + byteAt(records_, record + nameLengthOffset);
    const std::size_t count = byteAt(records_, offset);
    const std::size_t begin = ++offset;
    for (std::size_t i = 0; i < count; ++i) {
        offset += 1 + byteAt(records_, offset);
    }
    return std::string_view(records_).substr(begin, offset - begin);
}

bool CustomerTable::holdsKey(std::size_t record, std::string_view key) const
{
    std::string_view rest = keysAt(record);
    while (!rest.empty()) {
        const std::size_t length = static_cast<std::uint8_t>(rest.front());
        if (rest.substr(1, length) == key) {
            return true;
        }
        rest.remove_prefix(1 + length);
    }
    return false;
}

std::size_t CustomerTable::slotOf(std::string_view key, std::uint64_t hash) const
{
    const auto tag = static_cast<std::uint8_t>(hash >> tagShift);
    std::size_t slot = hash % slots_.size();
    while (slots_[slot] != emptySlot) {
        const bool candidate = tags_[slot] == tag && slots_[slot] != conflictSlot;
        if (candidate && holdsKey(slots_[slot], key)) {
            break;
        }
        slot = slot + 1 == slots_.size() ? 0 : slot + 1;
    }
    return slot;
}

std::vector<KeyConflict> CustomerTable::finish()
{
    records_.shrink_to_fit();
    const auto slotCount = static_cast<std::size_t>(static_cast<double>(keys_) * slotsPerKey) + 1;
    slots_.assign(slotCount, emptySlot);
    tags_.assign(slotCount, 0);
    std::vector<KeyConflict> conflicts;
    std::vector<std::size_t> conflictSlots;
    std::size_t record = 0;
    for (std::size_t customer = 0; customer < customers_; ++customer) {
        std::string_view rest = keysAt(record);
        const std::size_t next = static_cast<std::size_t>(rest.data() - records_.data()) + rest.size();
        for (std::size_t key = 0; !rest.empty(); ++key) {
            const std::size_t length = static_cast<std::uint8_t>(rest.front());
            const std::string_view text = rest.substr(1, length);
            rest.remove_prefix(1 + length);
            const std::uint64_t hash = hashOf(text);
            const std::size_t slot = slotOf(text, hash);
            if (slots_[slot] == emptySlot) {
                slots_[slot] = static_cast<std::uint32_t>(record);
                tags_[slot] = static_cast<std::uint8_t>(hash >> tagShift);
            } else if (slots_[slot] != record) {
                conflicts.push_back(KeyConflict{customer, key});
                conflictSlots.push_back(slot);
            }
        }
        record = next;
    }
    for (const std::size_t slot : conflictSlots) {
        slots_[slot] = conflictSlot;
    }
    return conflicts;
}

std::optional<Customer> CustomerTable::findByKey(std::string_view key) const
{
    if (slots_.empty() || key.empty()) {
        return std::nullopt;
    }
    const std::size_t slot = slotOf(key, hashOf(key));
    return slots_[slot] == emptySlot ? std::nullopt : std::optional<Customer>(customerAt(slots_[slot]));
}

std::size_t CustomerTable::size() const
{
    return customers_;
}

std::size_t CustomerTable::memoryBytes() const
{
    return records_.capacity() + slots_.capacity() * sizeof(slots_[0]) + tags_.capacity();
}

} // namespace waxwing
