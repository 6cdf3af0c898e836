#include "include/member/RecordTable.h"

#include "include/base/Ids.h"

#include <tuple>

namespace waxwing {

bool RecordVersion::operator<(const RecordVersion &other) const
{
    return std::tie(major, minor) < std::tie(other.major, other.minor);
}

bool RecordVersion::operator==(const RecordVersion &other) const
{
    return major == other.major && minor == other.minor;
}

RecordTable::RecordTable(ChangeHook onChange)
    : onChange_(std::move(onChange))
{ }

std::uint32_t RecordTable::bucketOf(const Id &id)
{
    return static_cast<std::uint32_t>(stableHash(id.second, static_cast<std::uint64_t>(id.first)) % bucketCount);
}

std::uint64_t RecordTable::hashOf(const Record &record)
{
    const std::string text = record.key + "/" + hexText(record.version.major) + "/" + hexText(record.version.minor);
    return stableHash(text, static_cast<std::uint64_t>(record.kind));
}

bool RecordTable::merge(const Record &record)
{
    const Id id(record.kind, record.key);
    const std::uint32_t bucket = bucketOf(id);
    const auto [it, inserted] = records_.try_emplace(id, record);
    if (!inserted) {
        if (!(it->second.version < record.version)) {
            return false;
        }
        hashes_[bucket] ^= hashOf(it->second);
        it->second = record;
    }
    hashes_[bucket] ^= hashOf(record);
    buckets_[bucket][id] = record.version;
    if (onChange_) {
        // Passes the caller's record: the hook may call merge(), which may replace the stored one.
        onChange_(record);
    }
    return true;
}

const Record *RecordTable::find(RecordKind kind, const std::string &key) const
{
    const auto found = records_.find(Id(kind, key));
    return found == records_.end() ? nullptr : &found->second;
}

void RecordTable::drop(RecordKind kind, const std::string &key)
{
    const Id id(kind, key);
    const auto found = records_.find(id);
    if (found == records_.end()) {
        return;
    }
    const std::uint32_t bucket = bucketOf(id);
    hashes_[bucket] ^= hashOf(found->second);
    buckets_[bucket].erase(id);
    records_.erase(found);
}

std::vector<const Record *> RecordTable::all(RecordKind kind) const
{
    return withPrefix(kind, {});
}

std::vector<const Record *> RecordTable::withPrefix(RecordKind kind, const std::string &prefix) const
{
    std::vector<const Record *> found;
    for (auto it = records_.lower_bound(Id(kind, prefix)); it != records_.end(); ++it) {
        const bool inRange = it->first.first == kind && it->first.second.compare(0, prefix.size(), prefix) == 0;
        if (!inRange) {
            break;
        }
        found.push_back(&it->second);
    }
    return found;
}

std::size_t RecordTable::size() const
{
    return records_.size();
}

const RecordTable::BucketHashes &RecordTable::bucketHashes() const
{
    return hashes_;
}

std::vector<std::uint32_t> RecordTable::differingBuckets(const BucketHashes &other) const
{
    std::vector<std::uint32_t> differing;
    for (std::uint32_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (hashes_[bucket] != other[bucket]) {
            differing.push_back(bucket);
        }
    }
    return differing;
}

std::vector<RecordName> RecordTable::namesIn(std::uint32_t bucket) const
{
    std::vector<RecordName> names;
    for (const auto &[id, version] : buckets_[bucket]) {
        names.push_back(RecordName{id.first, id.second, version});
    }
    return names;
}

std::vector<Record> RecordTable::newerThan(std::uint32_t bucket, const std::vector<RecordName> &theirs) const
{
    std::map<Id, RecordVersion> theirVersions;
    for (const RecordName &name : theirs) {
        theirVersions[Id(name.kind, name.key)] = name.version;
    }
    std::vector<Record> newer;
    for (const auto &[id, version] : buckets_[bucket]) {
        const auto found = theirVersions.find(id);
        if (found == theirVersions.end() || found->second < version) {
            newer.push_back(records_.at(id));
        }
    }
    return newer;
}

bool RecordTable::lacksAny(const std::vector<RecordName> &theirs) const
{
    for (const RecordName &name : theirs) {
        const Record *held = find(name.kind, name.key);
        if (held == nullptr || held->version < name.version) {
            return true;
        }
    }
    return false;
}

} // namespace waxwing
