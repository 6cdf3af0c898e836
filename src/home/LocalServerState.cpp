#include "include/home/LocalServerState.h"

#include <algorithm>

namespace waxwing {

namespace {
/**
 * Largest number of server ids with a recorded deregistration. A record is needed only while delayed heartbeats can
 * still arrive, and in that time the server beside one node restarts far fewer times than this.
 */
constexpr std::size_t maxDeregistered = 64;
} // namespace

bool LocalServerState::isOlder(const Announcement &announcement) const
{
    const auto deregistered = deregistered_.find(announcement.server);
    if (deregistered != deregistered_.end() && announcement.incarnation <= deregistered->second) {
        return true;
    }
    if (!current_) {
        return false;
    }
    if (announcement.incarnation != current_->incarnation) {
        return announcement.incarnation < current_->incarnation;
    }
    return announcement.server != current_->server || announcement.sequence < current_->sequence;
}

ServerChange LocalServerState::update(const Announcement &announcement, const LocalServer &expected)
{
    const bool isLocal = announcement.service == expected.service && announcement.address == expected.address.address
                         && announcement.port == expected.address.port;
    if (!isLocal || isOlder(announcement)) {
        return ServerChange::Ignored;
    }
    const bool newProcess = !current_ || current_->incarnation != announcement.incarnation;
    const bool repeated = !newProcess && announcement.sequence == current_->sequence;
    const bool serves = announcement.state == ServerState::Serving;
    const bool wasServing = serving() != nullptr && !newProcess;
    if (repeated && serves && stopped_) {
        return ServerChange::None;
    }
    current_ = announcement;
    stopped_ = !serves;
    if (serves == wasServing) {
        return ServerChange::None;
    }
    return serves ? ServerChange::Started : ServerChange::Stopped;
}

ServerChange LocalServerState::deregister(const std::string &server, std::optional<std::uint64_t> incarnation)
{
    const bool isCurrent =
        current_ && current_->server == server && (!incarnation || *incarnation >= current_->incarnation);
    std::uint64_t ended = incarnation.value_or(0);
    if (isCurrent) {
        ended = std::max(ended, current_->incarnation);
    }
    if (ended > 0) {
        if (deregistered_.size() >= maxDeregistered) {
            deregistered_.erase(deregistered_.begin());
        }
        deregistered_[server] = std::max(deregistered_[server], ended);
    }
    if (!isCurrent || stopped_) {
        return ServerChange::None;
    }
    stopped_ = true;
    return ServerChange::Stopped;
}

ServerChange LocalServerState::noteReplaced(std::uint64_t incarnation)
{
    if (!current_ || current_->incarnation != incarnation || stopped_) {
        return ServerChange::None;
    }
    stopped_ = true;
    return ServerChange::Stopped;
}

const Announcement *LocalServerState::serving() const
{
    return current_ && !stopped_ ? &*current_ : nullptr;
}

const Announcement *LocalServerState::latest() const
{
    return current_ ? &*current_ : nullptr;
}

} // namespace waxwing
