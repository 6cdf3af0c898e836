#include "include/fleet/ConfigDelivery.h"

#include <algorithm>
#include <iterator>

namespace waxwing {

ConfigDelivery::ConfigDelivery(ConfigDeliveryTuning tuning)
    : tuning_(tuning)
{ }

bool ConfigDelivery::tryStart(std::size_t bytes, SteadyTime now)
{
    const auto length = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / static_cast<double>(tuning_.bytesPerSecond)));
    const auto othersAtMost = static_cast<std::int64_t>(tuning_.parallel) - 1;
    if (busyUntil_ - now > std::max(lastLength_, length) * othersAtMost) {
        return false;
    }
    busyUntil_ = std::max(busyUntil_, now) + length;
    lastLength_ = length;
    return true;
}

void ConfigDelivery::addWaiting(const std::string &peer)
{
    offered_.erase(peer);
    const bool known = std::find(waiting_.begin(), waiting_.end(), peer) != waiting_.end();
    if (!known && waiting_.size() < tuning_.maxWaiting) {
        waiting_.push_back(peer);
    }
}

void ConfigDelivery::removeWaiting(const std::string &peer)
{
    waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), peer), waiting_.end());
    offered_.erase(peer);
}

std::vector<std::string> ConfigDelivery::takeOffers(SteadyTime now)
{
    std::vector<std::string> out;
    if (now < nextOfferAt_ || busyUntil_ - now > lastLength_) {
        return out;
    }
    for (auto offer = offered_.begin(); offer != offered_.end();) {
        offer = now < offer->second ? std::next(offer) : offered_.erase(offer);
    }
    while (!waiting_.empty() && out.size() < tuning_.parallel) {
        offered_[waiting_.front()] = now + tuning_.offerValidFor;
        out.push_back(waiting_.front());
        waiting_.pop_front();
    }
    nextOfferAt_ = now + tuning_.offerInterval;
    return out;
}

bool ConfigDelivery::hasWaiting() const
{
    return !waiting_.empty();
}

bool ConfigDelivery::isActive(SteadyTime now) const
{
    const bool mayBeAsked =
        std::any_of(offered_.begin(), offered_.end(), [now](const auto &offer) { return now < offer.second; });
    return mayBeAsked || now < busyUntil_;
}

} // namespace waxwing
