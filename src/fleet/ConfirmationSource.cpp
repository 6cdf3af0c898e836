#include "include/fleet/ConfirmationSource.h"

#include <algorithm>

namespace waxwing {

ConfirmationSource::ConfirmationSource(std::function<std::uint64_t()> random, ConfirmationSourceTuning tuning)
    : random_(std::move(random))
    , tuning_(tuning)
    , pause_(tuning.roundPause)
{ }

SteadyTime ConfirmationSource::nextAt() const
{
    return nextAt_;
}

bool ConfirmationSource::isAvoided(const std::string &peer, SteadyTime now) const
{
    const auto found = avoidedUntil_.find(peer);
    return found != avoidedUntil_.end() && now < found->second;
}

std::string ConfirmationSource::choose(const std::vector<std::string> &peers, SteadyTime now) const
{
    std::vector<const std::string *> usable;
    for (const std::string &peer : peers) {
        if (!isAvoided(peer, now)) {
            usable.push_back(&peer);
        }
    }
    return usable.empty() ? std::string() : *usable[random_() % usable.size()];
}

std::string ConfirmationSource::chooseInRegion(const ConfirmationCandidates &candidates, SteadyTime now) const
{
    std::string watcher = choose(candidates.watchers, now);
    return watcher.empty() ? choose(candidates.region, now) : watcher;
}

std::string ConfirmationSource::chooseElsewhere(const ConfirmationCandidates &candidates, SteadyTime now) const
{
    std::string linked = choose(candidates.elsewhereLinked, now);
    return linked.empty() ? choose(candidates.elsewhere, now) : linked;
}

void ConfirmationSource::removeExpired(SteadyTime now)
{
    for (auto peer = avoidedUntil_.begin(); peer != avoidedUntil_.end();) {
        peer = now >= peer->second ? avoidedUntil_.erase(peer) : std::next(peer);
    }
}

void ConfirmationSource::endFailedRound(SteadyTime now)
{
    attempt_ = 0;
    pending_.clear();
    nextAt_ = now + pause_;
    pause_ = std::min(tuning_.maxRoundPause, pause_ * 2);
}

std::optional<ConfirmationRequest> ConfirmationSource::next(const ConfirmationCandidates &candidates, SteadyTime now)
{
    if (now < nextAt_) {
        return std::nullopt;
    }
    if (!pending_.empty()) {
        // No reply in time; a late confirmation is still accepted. A copy is passed because noteFailed() clears
        // pending_.
        noteFailed(std::string(pending_), now);
        if (now < nextAt_) {
            return std::nullopt;
        }
    }
    removeExpired(now);
    ConfirmationRequest request;
    request.attempt = attempt_;
    if (now >= preferredUntil_) {
        preferred_.clear();
    }
    const bool prefers = attempt_ == 0 && !preferred_.empty() && !isAvoided(preferred_, now);
    if (prefers) {
        request.peer = preferred_;
        request.otherRegion = true;
    } else if (attempt_ < tuning_.regionRequestsPerRound) {
        request.peer = chooseInRegion(candidates, now);
    }
    if (request.peer.empty()) {
        request.peer = chooseElsewhere(candidates, now);
        request.otherRegion = !request.peer.empty();
    }
    if (request.peer.empty()) {
        request.peer = chooseInRegion(candidates, now);
    }
    if (request.peer.empty()) {
        // All have failed recently. The next round asks them again.
        avoidedUntil_.clear();
        endFailedRound(now);
        return std::nullopt;
    }
    roundStartedAt_ = attempt_ == 0 ? now : roundStartedAt_;
    pending_ = request.peer;
    isPendingElsewhere_ = request.otherRegion;
    ++attempt_;
    nextAt_ = now + tuning_.replyTimeout;
    return request;
}

void ConfirmationSource::noteConfirmed(const std::string &peer, SteadyTime now)
{
    avoidedUntil_.erase(peer);
    if (peer == pending_ && isPendingElsewhere_ && peer != preferred_) {
        preferred_ = peer;
        preferredUntil_ = now + tuning_.preferFor;
    }
    pending_.clear();
    attempt_ = 0;
    pause_ = tuning_.roundPause;
    nextAt_ = std::max(now, roundStartedAt_ + tuning_.roundInterval);
}

void ConfirmationSource::noteFailed(const std::string &peer, SteadyTime now)
{
    avoidedUntil_[peer] = now + tuning_.avoidFor;
    if (peer != pending_) {
        return;
    }
    pending_.clear();
    if (attempt_ >= tuning_.requestsPerRound) {
        endFailedRound(now);
        return;
    }
    nextAt_ = std::min(nextAt_, now + tuning_.minInterval);
}

} // namespace waxwing
