#pragma once

#include "include/wire/Messages.h"

#include <nlohmann/json.hpp>

/**
 * Encodes (xOf) and decodes (xFrom) the messages about work at homes and its fences. The decoders throw
 * nlohmann::json::exception for a message of another form. All are thread safe.
 */
namespace waxwing::wire {

nlohmann::json workOf(const Work &m);
Work workFrom(const nlohmann::json &in);
nlohmann::json fenceOf(const Fence &m);
Fence fenceFrom(const nlohmann::json &in);
nlohmann::json fenceReplyOf(const FenceReply &m);
FenceReply fenceReplyFrom(const nlohmann::json &in);

} // namespace waxwing::wire
