#include "include/limit/InnerCallMeter.h"

namespace waxwing {

namespace {

/** A route counts as the callers' own from this share of requests that came while the server was idle. */
constexpr double idleShareOfCallers = 0.03;
/** Counts are halved from here on, so that a route whose use changed is judged anew. */
constexpr std::uint32_t mostCounted = 1000;

} // namespace

double InnerCallMeter::note(const std::string &route, std::size_t running, std::size_t repeats)
{
    Seen &seen = routes_[route];
    (running > 0 ? seen.whileBusy : seen.whileIdle) += 1;
    const std::uint32_t all = seen.whileBusy + seen.whileIdle;
    if (all >= mostCounted) {
        seen.whileBusy /= 2;
        seen.whileIdle /= 2;
    }
    const bool callersOwn = seen.whileIdle > idleShareOfCallers * all;
    return callersOwn || running == 0 ? 0.0 : static_cast<double>(repeats) / static_cast<double>(running);
}

} // namespace waxwing
