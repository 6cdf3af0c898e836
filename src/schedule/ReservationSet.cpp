#include "include/schedule/ReservationSet.h"

#include <algorithm>

namespace waxwing {

bool HomeReservation::operator==(const HomeReservation &other) const
{
    return home == other.home && id == other.id;
}

void ReservationSet::add(const std::string &home, std::uint64_t id)
{
    held_.push_back(HomeReservation{home, id});
}

OfferAction ReservationSet::acceptOffer(const std::string &home, std::uint64_t id)
{
    const HomeReservation offered{home, id};
    if (bound_) {
        return *bound_ == offered ? OfferAction::Ignore : OfferAction::Release;
    }
    if (!remove(home, id)) {
        return OfferAction::Release;
    }
    bound_ = offered;
    return OfferAction::Bind;
}

bool ReservationSet::remove(const std::string &home, std::uint64_t id)
{
    const auto found = std::find(held_.begin(), held_.end(), HomeReservation{home, id});
    if (found == held_.end()) {
        return false;
    }
    held_.erase(found);
    return true;
}

std::vector<HomeReservation> ReservationSet::removeHome(const std::string &home)
{
    const auto lost =
        std::stable_partition(held_.begin(), held_.end(), [&](const HomeReservation &one) { return one.home != home; });
    std::vector<HomeReservation> removed(lost, held_.end());
    held_.erase(lost, held_.end());
    return removed;
}

std::vector<HomeReservation> ReservationSet::takeOthers()
{
    std::vector<HomeReservation> others;
    others.swap(held_);
    return others;
}

void ReservationSet::unbind()
{
    bound_.reset();
}

bool ReservationSet::isBound() const
{
    return bound_.has_value();
}

const std::optional<HomeReservation> &ReservationSet::bound() const
{
    return bound_;
}

const std::vector<HomeReservation> &ReservationSet::held() const
{
    return held_;
}

std::size_t ReservationSet::count() const
{
    return held_.size();
}

} // namespace waxwing
