#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/** One reservation of a waiting request. */
struct HomeReservation {
    /** Node id of the home. */
    std::string home;
    /** Unique within the sender's incarnation. */
    std::uint64_t id = 0;

    bool operator==(const HomeReservation &other) const;
};

/** What a sender does with an offer. */
enum class OfferAction {
    /** The request is bound to this offer: send its Work with the reservation's id. */
    Bind,
    /** Nothing waits for this offer: release it, so that the home need not wait for its expiry. */
    Release,
    /** The offer to which the request is bound arrived again. A release could free the slot of its Work. */
    Ignore,
};

/**
 * One waiting request at its sender: at which homes it holds reservations, and to which one it is bound. It is bound to
 * at most one at a time, so that its Work is sent for one offer only. Not thread safe.
 */
class ReservationSet
{
public:
    /** Adds a reservation that was sent. @pre No other reservation of the set has its home and id; !isBound(). */
    void add(const std::string &home, std::uint64_t id);
    /**
     * Binds the request to the offer if it holds the reservation and is not bound yet. The reservation then is bound()
     * and no longer among those held.
     */
    OfferAction acceptOffer(const std::string &home, std::uint64_t id);
    /**
     * Removes a reservation that was refused, expired or lost with its link. Returns false if none was held. The bound
     * one is not removed: its Work decides.
     */
    bool remove(const std::string &home, std::uint64_t id);
    /** Removes and returns the reservations at a home whose link was lost; without the bound one. */
    std::vector<HomeReservation> removeHome(const std::string &home);
    /**
     * Removes and returns the reservations to release after the request was bound or has ended; without the bound one.
     */
    std::vector<HomeReservation> takeOthers();
    /** Records that the home refused the Work as not run, so the request can reserve again. @pre isBound() */
    void unbind();
    bool isBound() const;
    const std::optional<HomeReservation> &bound() const;
    /** Returns the reservations that wait for an offer, in the order in which they were added. */
    const std::vector<HomeReservation> &held() const;
    /** Returns the number of reservations that wait for an offer. */
    std::size_t count() const;

private:
    std::vector<HomeReservation> held_;
    std::optional<HomeReservation> bound_;
};

} // namespace waxwing
