#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

/** Limit on the requests of one customer at all nodes together: a token bucket. */
struct QuotaLimit {
    /** Requests per second; 0 means no limit. */
    double ratePerSecond = 0.0;
    /** Requests beyond the rate that may come at once. */
    double burst = 0.0;

    bool isUnlimited() const;
    bool operator==(const QuotaLimit &other) const;
    bool operator!=(const QuotaLimit &other) const;
};

/** A customer as the configuration declares it. @c name is valid as long as the table that returned it. */
struct Customer {
    std::string_view name;
    /** Goes before the priority of the route. */
    std::optional<int> priority;
    QuotaLimit quota;
};

/** A key that two entries of the table hold: positions in the order in which they were added. */
struct KeyConflict {
    std::size_t customer = 0;
    std::size_t key = 0;
};

/**
 * The customers of one configuration, found by their keys. Customers lie one after the other in one block of bytes; a
 * flat hash table with open addressing finds them. Its hash is keyed with a secret of the process, so nobody can choose
 * keys that collide, and a key is only accepted if it is equal byte by byte. Immutable after finish(), then thread
 * safe.
 */
class CustomerTable
{
public:
    static constexpr std::size_t maxNameBytes = 255;
    static constexpr std::size_t maxKeyBytes = 255;
    static constexpr std::size_t maxKeysPerCustomer = 255;

    /** @p secret: seed of the hash. */
    explicit CustomerTable(std::uint64_t secret = processSecret());
    /** Returns a random number drawn once per process. Thread safe. */
    static std::uint64_t processSecret();

    /**
     * Appends a customer. @pre finish() has not been called; name and keys are not empty and within the limits above;
     * the priority is nothing or from 0 to 254.
     */
    void add(const Customer &customer, const std::vector<std::string> &keys);
    /**
     * Builds the index. A key that several customers hold belongs to none of them afterwards; returns the place of each
     * further one.
     */
    std::vector<KeyConflict> finish();

    /** Returns the customer that holds @p key; nothing if there is none. @pre finish() was called. */
    std::optional<Customer> findByKey(std::string_view key) const;
    std::size_t size() const;
    /** Returns the bytes of memory that the table holds. */
    std::size_t memoryBytes() const;

private:
    /** Where one key lies, and the start of its customer's record. */
    struct KeyPlace {
        std::size_t record = 0;
        std::string_view key;
    };

    std::uint64_t hashOf(std::string_view key) const;
    Customer customerAt(std::size_t record) const;
    /** Returns the bytes of the customer's keys, each after its length. */
    std::string_view keysAt(std::size_t record) const;
    bool holdsKey(std::size_t record, std::string_view key) const;
    /** Returns the slot that holds @p key, or the empty slot where its search ends. */
    std::size_t slotOf(std::string_view key, std::uint64_t hash) const;

    std::uint64_t secret_;
    std::string records_;
    std::size_t customers_ = 0;
    std::size_t keys_ = 0;
    /** Start of a customer's record in each used slot. */
    std::vector<std::uint32_t> slots_;
    /** Eight bits of the hash for each slot, so that most slots of other keys are passed without reading a record. */
    std::vector<std::uint8_t> tags_;
};

} // namespace waxwing
