#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace waxwing {

/**
 * Estimates how many of the requests that arrive at a node are calls made by a run that was itself a repeat. Such calls
 * are repeats at the service that they call and belong to its budget, but nothing in them names their parent. What is
 * known: a server's own calls come only while it runs something, while callers' requests come at any time. Not thread
 * safe.
 */
class InnerCallMeter
{
public:
    /**
     * A request of @p route arrived while the local server ran @p running works, of which @p repeats were repeats.
     * Returns the expected number of repeats that it is, 0 to 1.
     */
    double note(const std::string &route, std::size_t running, std::size_t repeats);

private:
    struct Seen {
        std::uint32_t whileBusy = 0;
        std::uint32_t whileIdle = 0;
    };
    std::map<std::string, Seen> routes_;
};

} // namespace waxwing
