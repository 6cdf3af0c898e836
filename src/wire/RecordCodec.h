#pragma once

#include "include/wire/Messages.h"

#include <nlohmann/json.hpp>

/**
 * Encodes (xOf) and decodes (xFrom) the messages of the gossip about records. The decoders throw
 * nlohmann::json::exception for a message of another form. All are thread safe.
 */
namespace waxwing::wire {

nlohmann::json recordsPushOf(const RecordsPush &m);
RecordsPush recordsPushFrom(const nlohmann::json &in);
nlohmann::json recordNamesOf(const RecordNames &m);
RecordNames recordNamesFrom(const nlohmann::json &in);
nlohmann::json bucketNamesOf(const BucketNames &m);
BucketNames bucketNamesFrom(const nlohmann::json &in);
nlohmann::json digestOf(const DigestOffer &m);
DigestOffer digestFrom(const nlohmann::json &in);

} // namespace waxwing::wire
