#pragma once

#include "include/base/Findings.h"
#include "include/fleet/FleetConfig.h"

#include <string>

namespace waxwing::testing {

/**
 * Decodes a configuration document from a tree of the whole document. Slow; tests compare platform::decodeConfig() with
 * it. Thread safe.
 */
FleetConfig decodeConfigFromTree(const std::string &document, Findings &findings);

} // namespace waxwing::testing
