#pragma once

#include <cstddef>
#include <string>
#include <unordered_set>

namespace waxwing {

/** Whether a response names the request that it answers. */
enum class ResponseMatch {
    /** It names the request that waits. */
    Matches,
    /** It names another request. */
    OtherRequest,
    /** It names no request. */
    Unidentified,
};

/**
 * The requests that one connection has carried. A response is told apart from earlier ones by the ID of its request.
 * All sends of a request have the same ID, so that a late copy of the response to an earlier send would pass for the
 * response to the next one, and a request that runs would be reported as rejected. A connection therefore carries each
 * request once. Not thread safe.
 */
class ConnectionHistory
{
public:
    /** Records that the connection carries a request. @p requestId: its ID; empty if its responses name none. */
    void add(const std::string &requestId);
    /** Returns true if the connection may carry the request. Thread safe while nothing is added. */
    bool allows(const std::string &requestId) const;
    /**
     * Returns true if a response with @p match can only be the response to the request that was added last. One that
     * names no request may be the late response to any earlier request. Thread safe while nothing is added.
     */
    bool identifies(ResponseMatch match) const;

private:
    std::unordered_set<std::string> requestIds_;
    std::size_t requests_ = 0;
};

} // namespace waxwing
