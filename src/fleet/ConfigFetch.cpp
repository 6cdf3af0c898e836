#include "include/fleet/ConfigFetch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace waxwing {

ConfigFetch::ConfigFetch(std::function<std::uint64_t()> random, ConfigFetchTuning tuning)
    : random_(std::move(random))
    , tuning_(tuning)
{ }

Millis ConfigFetch::jitter(Millis limit) const
{
    return Millis(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit.count() + 1)));
}

void ConfigFetch::setPlace(const DeliveryPlace &place)
{
    sources_ = place.sources;
    rank_ = place.rank;
}

void ConfigFetch::setTarget(std::uint64_t version, SteadyTime now)
{
    if (!target_) {
        target_ = Target{version, now, false, std::nullopt, jitter(tuning_.storeJitter)};
        nextAskAt_ = now + jitter(tuning_.firstAskJitter);
    }
    // A version that replaces one that has not arrived is due no later than that one.
    target_->version = version;
    regionHolders_.clear();
    otherHolders_.clear();
    asked_.clear();
    lost_.clear();
    offeredBy_.clear();
    attempt_ = 0;
}

void ConfigFetch::noteHolder(std::uint64_t version, const std::string &peer, bool inRegion, SteadyTime now)
{
    if (version <= received_ || (target_ && version < target_->version)) {
        return;
    }
    if (!target_ || version > target_->version) {
        setTarget(version, now);
    }
    (inRegion ? regionHolders_ : otherHolders_).insert(peer);
    if (inRegion && !target_->inRegionSince) {
        target_->wasInRegion = true;
        target_->inRegionSince = now;
    }
    lost_.erase(peer);
}

void ConfigFetch::noteOffer(std::uint64_t version, const std::string &peer, bool inRegion, SteadyTime now)
{
    noteHolder(version, peer, inRegion, now);
    if (!target_ || version != target_->version) {
        return;
    }
    const bool deliversToThis = !sources_.empty() && sources_.front() == peer;
    if (asked_.count(peer) > 0 || deliversToThis) {
        offeredBy_ = peer;
        nextAskAt_ = now;
    }
}

void ConfigFetch::noteSent(const std::string &peer, SteadyTime now)
{
    request_ = Request{peer, now};
    asked_.insert(peer);
    offeredBy_.clear();
    ++attempt_;
}

void ConfigFetch::noteUnavailable(const std::string &peer, SteadyTime now)
{
    if (request_ && request_->peer == peer) {
        request_.reset();
        offeredBy_.clear();
        nextAskAt_ = now + tuning_.retryDelay + jitter(tuning_.retryJitter);
    }
}

void ConfigFetch::noteLost(const std::string &peer, SteadyTime now)
{
    regionHolders_.erase(peer);
    otherHolders_.erase(peer);
    asked_.erase(peer);
    lost_.insert(peer);
    if (target_ && regionHolders_.empty()) {
        target_->inRegionSince.reset();
    }
    if (offeredBy_ == peer) {
        offeredBy_.clear();
    }
    if (request_ && request_->peer == peer) {
        request_.reset();
        nextAskAt_ = now + jitter(tuning_.firstAskJitter);
    }
}

void ConfigFetch::noteReceived(std::uint64_t version, SteadyTime now)
{
    if (version <= received_) {
        return;
    }
    received_ = version;
    settledAt_ = now + tuning_.settleTime;
    if (target_ && target_->version <= version) {
        target_.reset();
        request_.reset();
    }
}

SteadyTime ConfigFetch::storeAt(WatchRole role) const
{
    Millis growth{0};
    for (std::size_t groups = rank_ / tuning_.firstReaders; groups > 1; groups /= 2) {
        growth += tuning_.storeGrowth;
    }
    SteadyTime due = target_->since;
    if (!target_->inRegionSince) {
        const Millis after = rank_ < tuning_.firstReaders ? tuning_.firstReaderStoreAfter : tuning_.otherStoreAfter;
        due += role == WatchRole::Watcher ? tuning_.watcherStoreAfter : after + growth;
    } else {
        due = *target_->inRegionSince + tuning_.storeAfter + growth;
    }
    return std::max(due + target_->storeJitter, storeReadAt_ + tuning_.storeInterval);
}

ConfigFetchStep ConfigFetch::next(WatchRole role, bool canUseStore, SteadyTime now)
{
    if (!target_) {
        return {};
    }
    using Kind = ConfigFetchStep::Kind;
    const bool noReply = request_ && now - request_->sentAt >= tuning_.replyTimeout;
    if (noReply) {
        // A peer that is dead or cut off is not asked again for this version unless it is heard of again.
        noteLost(std::string(request_->peer), now);
        nextAskAt_ = now;
    }
    const bool isPreempted = request_ && !offeredBy_.empty() && offeredBy_ != request_->peer
                             && now - request_->sentAt >= tuning_.offerPreemptsAfter;
    if (isPreempted) {
        request_.reset();
    }
    role_ = role;
    if (now >= storeAt(role)) {
        storeReadAt_ = now;
        return {Kind::ReadStore, "", now, role == WatchRole::Watcher ? "watch-late" : "peers-late"};
    }
    if (request_) {
        const Millis wait = offeredBy_.empty() ? tuning_.replyTimeout : tuning_.offerPreemptsAfter;
        return {Kind::Wait, "", request_->sentAt + wait, "asked"};
    }
    if (now < nextAskAt_) {
        return {Kind::Wait, "", nextAskAt_, "jitter"};
    }
    const bool offered = !offeredBy_.empty();
    std::string peer = choosePeer(canUseStore);
    if (peer.empty()) {
        return {Kind::Wait, "", storeAt(role), "no-holder"};
    }
    const char *reason = offered ? "offered" : (noReply ? "no-reply" : (attempt_ == 0 ? "newer" : "retry"));
    return {Kind::AskPeer, std::move(peer), now, reason};
}

std::string ConfigFetch::choosePeer(bool canUseStore)
{
    if (!offeredBy_.empty()) {
        return offeredBy_;
    }
    if (!target_->wasInRegion) {
        // While the store works, the region's watchers read it, and asking elsewhere would only use the same path.
        return canUseStore ? "" : randomOf(otherHolders_);
    }
    for (std::size_t i = attempt_; i < sources_.size(); ++i) {
        if (lost_.count(sources_[i]) == 0) {
            return sources_[i];
        }
    }
    return randomOf(regionHolders_);
}

std::string ConfigFetch::randomOf(const std::set<std::string> &peers) const
{
    if (peers.empty()) {
        return "";
    }
    return *std::next(peers.begin(), static_cast<std::ptrdiff_t>(random_() % peers.size()));
}

bool ConfigFetch::isDeliveryInTime(SteadyTime now) const
{
    if (!target_) {
        return now < settledAt_;
    }
    const bool hasReadStore = storeReadAt_ >= target_->since;
    return !hasReadStore && now < storeAt(role_);
}

std::optional<SteadyTime> ConfigFetch::newerSince() const
{
    return target_ ? std::optional<SteadyTime>(target_->since) : std::nullopt;
}

bool ConfigFetch::isHeldInRegion(std::uint64_t version) const
{
    return target_ && target_->version >= version && !regionHolders_.empty();
}

std::optional<std::string> ConfigFetch::pendingPeer() const
{
    return request_ ? std::optional<std::string>(request_->peer) : std::nullopt;
}

DeliveryPlace deliveryPlace(const std::vector<std::string> &ranked, std::size_t roots, const std::string &self)
{
    const auto found = std::find(ranked.begin(), ranked.end(), self);
    DeliveryPlace out;
    if (roots == 0 || found == ranked.end()) {
        return out;
    }
    const auto position = static_cast<std::size_t>(found - ranked.begin());
    const std::size_t firstChild = position * deliveryFanOut + roots;
    for (std::size_t i = firstChild; i < std::min(firstChild + deliveryFanOut, ranked.size()); ++i) {
        out.children.push_back(ranked[i]);
    }
    out.rank = position - std::min(position, roots);
    if (position < roots) {
        return out;
    }
    const std::size_t parent = (position - roots) / deliveryFanOut;
    const std::size_t shift = 1 + (position - roots) % deliveryFanOut;
    out.sources.push_back(ranked[parent]);
    if (parent + shift < position) {
        out.sources.push_back(ranked[parent + shift]);
    }
    if (parent >= shift) {
        out.sources.push_back(ranked[parent - shift]);
    }
    return out;
}

} // namespace waxwing
