#include "src/wire/RecordCodec.h"

#include "src/wire/FieldCodec.h"
#include "src/wire/MessageFrame.h"

namespace waxwing::wire {

using nlohmann::json;

json recordsPushOf(const RecordsPush &m)
{
    json records = json::array();
    for (const Record &record : m.records) {
        records.push_back(recordOf(record));
    }
    return makeMessage(MessageType::RecordsPush, std::move(records));
}

RecordsPush recordsPushFrom(const json &in)
{
    RecordsPush m;
    for (const json &record : in.at(firstField)) {
        m.records.push_back(recordFrom(record));
    }
    return m;
}

json recordNamesOf(const RecordNames &m)
{
    json names = json::array();
    for (const RecordName &name : m.names) {
        names.push_back(nameOf(name));
    }
    return makeMessage(MessageType::RecordNames, m.want, std::move(names));
}

RecordNames recordNamesFrom(const json &in)
{
    RecordNames m;
    m.want = in.at(firstField).get<bool>();
    for (const json &name : in.at(firstField + 1)) {
        m.names.push_back(nameFrom(name));
    }
    return m;
}

json bucketNamesOf(const BucketNames &m)
{
    json buckets = json::array();
    for (const auto &[bucket, names] : m.buckets) {
        json list = json::array();
        for (const RecordName &name : names) {
            list.push_back(nameOf(name));
        }
        buckets.push_back(json::array({bucket, std::move(list)}));
    }
    return makeMessage(MessageType::BucketNames, m.answer, std::move(buckets));
}

BucketNames bucketNamesFrom(const json &in)
{
    BucketNames m;
    m.answer = in.at(firstField).get<bool>();
    for (const json &entry : in.at(firstField + 1)) {
        const auto bucket = entry.at(0).get<std::uint32_t>();
        if (bucket >= RecordTable::bucketCount) {
            throw json::other_error::create(501, "bucket out of range", &in);
        }
        std::vector<RecordName> names;
        for (const json &name : entry.at(1)) {
            names.push_back(nameFrom(name));
        }
        m.buckets.emplace_back(bucket, std::move(names));
    }
    return m;
}

json digestOf(const DigestOffer &m)
{
    return makeMessage(MessageType::DigestOffer, json(m.hashes));
}

DigestOffer digestFrom(const json &in)
{
    const json &hashes = in.at(firstField);
    if (!hashes.is_array() || hashes.size() != RecordTable::bucketCount) {
        throw json::other_error::create(501, "wrong number of bucket hashes", &in);
    }
    DigestOffer m;
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        m.hashes[i] = hashes[i].get<std::uint64_t>();
    }
    return m;
}

} // namespace waxwing::wire
