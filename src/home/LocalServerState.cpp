#include "include/home/LocalServerState.h"

#include <algorithm>

namespace waxwing {

namespace {
/** Farewells remembered; a server beside one node restarts far less often than heartbeats are delayed. */
constexpr std::size_t mostGone = 64;
} // namespace

bool LocalServerState::isOlder(const Announcement &announcement) const
{
    const auto gone = gone_.find(announcement.server);
    if (gone != gone_.end() && announcement.incarnation <= gone->second) {
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

ServerChange LocalServerState::take(const Announcement &announcement, const LocalServer &expected)
{
    const bool fromHere = announcement.service == expected.service && announcement.address == expected.address.address
                          && announcement.port == expected.address.port;
    if (!fromHere || isOlder(announcement)) {
        return ServerChange::Ignored;
    }
    const bool newProcess = !current_ || current_->incarnation != announcement.incarnation;
    const bool repeated = !newProcess && announcement.sequence == current_->sequence;
    const bool serves = announcement.state == ServerState::Serving;
    const bool wasServing = serving() != nullptr && !newProcess;
    if (repeated && serves && left_) {
        return ServerChange::None;
    }
    current_ = announcement;
    left_ = !serves;
    if (serves == wasServing) {
        return ServerChange::None;
    }
    return serves ? ServerChange::Started : ServerChange::Left;
}

ServerChange LocalServerState::takeFarewell(const std::string &server, std::optional<std::uint64_t> incarnation)
{
    const bool isCurrent =
        current_ && current_->server == server && (!incarnation || *incarnation >= current_->incarnation);
    std::uint64_t ended = incarnation.value_or(0);
    if (isCurrent) {
        ended = std::max(ended, current_->incarnation);
    }
    if (ended > 0) {
        if (gone_.size() >= mostGone) {
            gone_.erase(gone_.begin());
        }
        gone_[server] = std::max(gone_[server], ended);
    }
    if (!isCurrent || left_) {
        return ServerChange::None;
    }
    left_ = true;
    return ServerChange::Left;
}

void LocalServerState::noteReplaced()
{
    left_ = true;
}

const Announcement *LocalServerState::serving() const
{
    return current_ && !left_ ? &*current_ : nullptr;
}

const Announcement *LocalServerState::known() const
{
    return current_ ? &*current_ : nullptr;
}

} // namespace waxwing
