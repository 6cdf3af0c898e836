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
    if (announcement.state == ServerState::Serving && departure_ && departure_->covers(announcement)) {
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
    if (awaitsRestore_ && announcement.state == ServerState::Serving && !isConfirmed(announcement)) {
        if (!unconfirmed_ || announcement.incarnation > unconfirmed_->incarnation) {
            unconfirmed_ = announcement;
        }
        return ServerChange::None;
    }
    return apply(announcement);
}

bool LocalServerState::isConfirmed(const Announcement &announcement) const
{
    const auto isSameProcess = [&](const std::optional<Announcement> &other) {
        return other && other->server == announcement.server && other->incarnation == announcement.incarnation;
    };
    return isSameProcess(current_) || (isSameProcess(unconfirmed_) && announcement.sequence > unconfirmed_->sequence);
}

ServerChange LocalServerState::apply(const Announcement &announcement)
{
    const bool newProcess = !current_ || current_->incarnation != announcement.incarnation;
    const bool repeated = !newProcess && announcement.sequence == current_->sequence;
    const bool serves = announcement.state == ServerState::Serving;
    const bool wasServing = serving() != nullptr && !newProcess;
    if (repeated && serves && stopped_) {
        return ServerChange::None;
    }
    if (!serves) {
        noteDeparture(ServerDeparture{announcement.server, announcement.incarnation, announcement.sequence});
    }
    current_ = announcement;
    stopped_ = !serves;
    if (serves == wasServing) {
        return ServerChange::None;
    }
    return serves ? ServerChange::Started : ServerChange::Stopped;
}

void LocalServerState::noteDeparture(const ServerDeparture &notice)
{
    if (current_ && notice.incarnation < current_->incarnation) {
        return;
    }
    // A leaving server repeats its notice. The first one is enough, unless the server has served again since.
    const bool isRepeated =
        departure_ && departure_->server == notice.server && departure_->incarnation == notice.incarnation;
    const bool hasServedSince = current_ && current_->server == notice.server
                                && current_->incarnation == notice.incarnation
                                && current_->state == ServerState::Serving;
    if (isRepeated && !hasServedSince) {
        return;
    }
    if (!departure_ || notice.supersedes(*departure_)) {
        departure_ = notice;
    }
}

const Announcement *LocalServerState::processOf(const std::string &server) const
{
    for (const auto *known : {&current_, &unconfirmed_}) {
        if (*known && (*known)->server == server) {
            return &**known;
        }
    }
    return nullptr;
}

ServerChange LocalServerState::deregister(const std::string &server, std::optional<std::uint64_t> incarnation)
{
    const Announcement *process = processOf(server);
    if (!incarnation && process == nullptr && !current_) {
        // Which announcements are older can't be told later, so the notice can't be kept.
        return ServerChange::Ignored;
    }
    const bool isCurrent =
        current_ && current_->server == server && (!incarnation || *incarnation >= current_->incarnation);
    std::uint64_t ended = incarnation.value_or(process == nullptr ? 0 : process->incarnation);
    if (isCurrent) {
        ended = std::max(ended, current_->incarnation);
    }
    if (ended > 0) {
        if (deregistered_.size() >= maxDeregistered) {
            deregistered_.erase(deregistered_.begin());
        }
        deregistered_[server] = std::max(deregistered_[server], ended);
        noteDeparture(ServerDeparture{server, ended, std::nullopt});
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

void LocalServerState::awaitRestore()
{
    awaitsRestore_ = true;
}

ServerChange LocalServerState::restore(const std::optional<ServerDeparture> &stored)
{
    awaitsRestore_ = false;
    if (stored && (!departure_ || stored->supersedes(*departure_))) {
        departure_ = stored;
    }
    const std::optional<Announcement> unconfirmed = std::move(unconfirmed_);
    unconfirmed_.reset();
    if (serving() != nullptr && departure_ && departure_->covers(*current_)) {
        stopped_ = true;
        return ServerChange::Stopped;
    }
    return unconfirmed && !isOlder(*unconfirmed) ? apply(*unconfirmed) : ServerChange::None;
}

const std::optional<ServerDeparture> &LocalServerState::departure() const
{
    return departure_;
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
