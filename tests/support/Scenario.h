#pragma once

#include "include/base/Error.h"

#include <string>
#include <vector>

namespace waxwing::testing {

/** Result of a scenario, with one line for each expectation that did not hold. */
struct ScenarioResult {
    std::string story;
    std::vector<std::string> failures;
    int expectations = 0;
};

/**
 * Runs a scenario on a HomeRig. The language, one statement a line, '#' begins a comment:
 *
 *     story TEXT                                   what a user would see (at least one line)
 *     service servers 12 slots 3 rate 300 response 300ms care fast floor 8 seed 1 [writes 20%]
 *     at 10s server s3 stall 100%                  also: errors SHARE, slow FACTOR, flap PERIOD, cold TIME, well,
 *                                                  silent, drain; "server all" means each one
 *     when server s3 out then server s4 stall 100% acts once the condition holds
 *     expect within 1s of 10s server s3 out        also: in
 *     expect never server s5 out
 *     expect never below 8
 *     expect ejections at most 2
 *     expect good at least 99%
 *     end 60s
 *
 * Errors: Malformed, with line and column.
 */
Expected<ScenarioResult> runScenario(const std::string &text);

} // namespace waxwing::testing
