#pragma once

#include "include/base/Findings.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace waxwing {

/** The intents of one service as an operator wrote them. */
struct IntentDocument {
    /** The intents without the field "revision". */
    nlohmann::json intents;
    /** Revision that the operator's change is based on; 0 if the file names none. */
    std::uint64_t revision = 0;
};

using IntentFile = std::map<std::string, IntentDocument>;

/**
 * Parses a file of intents: {"services": {NAME: {"classes": …}}}, JSON with comments. Validates every service and
 * reports every fault with file, line or JSON pointer. Thread safe.
 */
IntentFile parseIntentFile(const std::string &text, const std::string &source, Findings &findings);

/** Returns lines "path: old -> new" for the differences between two documents. Thread safe. */
std::string describeChange(const nlohmann::json &from, const nlohmann::json &to);

} // namespace waxwing
