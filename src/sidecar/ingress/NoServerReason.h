#pragma once

#include <string>

namespace waxwing {

/**
 * Returns true if a home that refuses work or a reservation, or cancels an offer, for @p reason has no server for it:
 * no server serves there, the node or its server stops, or another server serves there now. Thread safe.
 */
bool isNoServerReason(const std::string &reason);

} // namespace waxwing
