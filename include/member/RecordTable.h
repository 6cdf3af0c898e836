#pragma once

#include "include/member/Record.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace waxwing {

/** Key and version of a record, without its payload. */
struct RecordName {
    RecordKind kind = RecordKind::Node;
    std::string key;
    RecordVersion version;
};

/**
 * A node's replica of all records: the highest version seen of each record, and one hash for each bucket of keys, so
 * that two nodes find their differences by comparing a few hundred bytes. Not thread safe.
 */
class RecordTable
{
public:
    static constexpr std::size_t bucketCount = 64;
    using BucketHashes = std::array<std::uint64_t, bucketCount>;
    using Id = std::pair<RecordKind, std::string>;

    /** Called after a new record or a higher version of a record was stored. */
    using ChangeHook = std::function<void(const Record &)>;

    /** @p onChange may be empty. */
    explicit RecordTable(ChangeHook onChange = {});

    /** Stores @p record if its version is higher than the stored one. Returns whether it was stored. */
    bool merge(const Record &record);
    /** Returns the stored record, or null. Valid until the next merge or drop. */
    const Record *find(RecordKind kind, const std::string &key) const;
    /** Removes a record locally, for example an expired one; a peer may send it again. */
    void drop(RecordKind kind, const std::string &key);
    std::vector<const Record *> all(RecordKind kind) const;
    /** Returns the records of @p kind whose keys begin with @p prefix. */
    std::vector<const Record *> withPrefix(RecordKind kind, const std::string &prefix) const;
    std::size_t size() const;

    const BucketHashes &bucketHashes() const;
    /** Returns the buckets whose hash differs from the one in @p other. */
    std::vector<std::uint32_t> differingBuckets(const BucketHashes &other) const;
    /** Returns the keys and versions of the records in @p bucket. @pre bucket < bucketCount. */
    std::vector<RecordName> namesIn(std::uint32_t bucket) const;
    /** Returns the records of @p bucket that are newer here than in @p theirs, or missing there. */
    std::vector<Record> newerThan(std::uint32_t bucket, const std::vector<RecordName> &theirs) const;
    /** Returns true if @p theirs lists a record that is missing or older here. */
    bool lacksAny(const std::vector<RecordName> &theirs) const;

private:
    static std::uint32_t bucketOf(const Id &id);
    static std::uint64_t hashOf(const Record &record);

    ChangeHook onChange_;
    std::map<Id, Record> records_;
    std::array<std::map<Id, RecordVersion>, bucketCount> buckets_;
    BucketHashes hashes_{};
};

} // namespace waxwing
