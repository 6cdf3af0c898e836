#pragma once

#include "include/wire/Messages.h"

#include <nlohmann/json.hpp>

/**
 * Encodes (xOf) and decodes (xFrom) the messages about requests with tickets and their claims. The decoders throw
 * nlohmann::json::exception for a message of another form. All are thread safe.
 */
namespace waxwing::wire {

nlohmann::json execOf(const Exec &m);
Exec execFrom(const nlohmann::json &in);
nlohmann::json execReplyOf(const ExecReply &m);
ExecReply execReplyFrom(const nlohmann::json &in);
nlohmann::json handoverOf(const ClaimHandover &m);
ClaimHandover handoverFrom(const nlohmann::json &in);

} // namespace waxwing::wire
