#include "src/http/ConnectionHistory.h"

namespace waxwing {

namespace {
/** Number of request IDs that a connection remembers. After as many requests it carries no more. */
constexpr std::size_t maxRequestIds = 1000;
} // namespace

void ConnectionHistory::add(const std::string &requestId)
{
    ++requests_;
    if (!requestId.empty()) {
        requestIds_.insert(requestId);
    }
}

bool ConnectionHistory::allows(const std::string &requestId) const
{
    if (requestId.empty()) {
        return true;
    }
    return requestIds_.size() < maxRequestIds && requestIds_.count(requestId) == 0;
}

bool ConnectionHistory::identifies(ResponseMatch match) const
{
    return match == ResponseMatch::Matches || (match == ResponseMatch::Unidentified && requests_ == 1);
}

} // namespace waxwing
