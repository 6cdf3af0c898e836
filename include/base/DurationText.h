#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"

#include <string>

namespace waxwing {

/** Parses "250ms", "3s", "10m" or "1h". Errors: Malformed. Thread safe. */
Expected<Millis> parseDuration(const std::string &text);
/** Formats a duration in the largest unit that divides it. Thread safe. */
std::string durationText(Millis value);

} // namespace waxwing
