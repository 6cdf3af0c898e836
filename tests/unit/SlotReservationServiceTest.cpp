#include "src/sidecar/home/SlotReservationService.h"
#include "include/base/EventLog.h"
#include "include/base/Metrics.h"
#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace waxwing;
using waxwing::testing::ManualClock;

namespace {

constexpr LinkId senderLink = 7;
constexpr LinkId otherLink = 8;
const NodeRef sender{"n1", 100};
const NodeRef other{"n2", 200};

/** A home with a real SlotQueue behind the service, and links that record what is sent. */
class ReservingHome
{
protected:
    ReservingHome()
        : events_(clock_)
        , service_(clock_, metrics_, events_, makeHooks(), tuning())
    {
        queue_.setServer(1, true, clock_.now());
    }

    static SlotReservationTuning tuning()
    {
        SlotReservationTuning out;
        out.maxReservations = 4;
        return out;
    }

    SlotReservationService::Hooks makeHooks()
    {
        SlotReservationService::Hooks hooks;
        hooks.nextSlotId = [this] { return nextId_++; };
        hooks.submit = [this](const SlotRequest &request) { return queue_.submit(request, clock_.now()); };
        hooks.freeSlot = [this](std::uint64_t slotId) { free(slotId); };
        hooks.load = [this](int priority) { return queue_.load(priority, clock_.now()); };
        hooks.refusal = [this](const std::string &) { return closed_; };
        hooks.isInOtherRegion = [](const NodeRef &node) { return node == other; };
        hooks.send = [this](LinkId link, const SlotOffer &offer) {
            sent_.emplace_back(link, offer);
            return closedLinks_.count(link) == 0;
        };
        hooks.onOffered = [] {};
        return hooks;
    }

    void poll()
    {
        const SlotQueue::PollResult result = queue_.poll(clock_.now());
        for (const std::uint64_t id : result.start) {
            if (!service_.slotStarted(id)) {
                queue_.release(id, clock_.now());
            }
        }
        for (const std::uint64_t id : result.expired) {
            service_.slotRemoved(id, "queue-timeout");
        }
    }

    void free(std::uint64_t slotId)
    {
        queue_.cancel(slotId);
        queue_.release(slotId, clock_.now());
        poll();
    }

    /** Lets a Work use the only slot, and returns its id. */
    std::uint64_t occupy()
    {
        SlotRequest request;
        request.id = nextId_++;
        request.route = "book";
        request.objective = clock_.now() + Millis(2000);
        request.deadline = clock_.now() + Millis(4000);
        REQUIRE(queue_.submit(request, clock_.now()).action == SlotAction::Start);
        return request.id;
    }

    void reserve(const NodeRef &from, std::uint64_t id, std::uint8_t priority = 1, LinkId link = senderLink)
    {
        SlotReserve reserve;
        reserve.id = id;
        reserve.service = "desk";
        reserve.route = "book";
        reserve.customer = "c1";
        reserve.priority = priority;
        reserve.remaining = Millis(3000);
        reserve.untilObjective = Millis(2000);
        service_.handle(link, from, reserve);
    }

    bool hasOffer(std::uint64_t id) const
    {
        return std::any_of(sent_.begin(), sent_.end(),
                           [id](const auto &one) { return one.second.id == id && one.second.validFor > Millis(0); });
    }

    std::string refusalOf(std::uint64_t id) const
    {
        for (const auto &[link, offer] : sent_) {
            if (offer.id == id && offer.validFor == Millis(0)) {
                return offer.reason;
            }
        }
        return {};
    }

    ManualClock clock_;
    Metrics metrics_;
    EventLog events_;
    SlotQueue queue_;
    std::vector<std::pair<LinkId, SlotOffer>> sent_;
    std::set<LinkId> closedLinks_;
    std::string closed_;
    std::uint64_t nextId_ = 1;
    SlotReservationService service_;
};

} // namespace

// Guards against a reservation that waits although a slot is free.
TEST_CASE_FIXTURE(ReservingHome, "reservation, slot is free, gets an offer at once")
{
    reserve(sender, 1);
    REQUIRE(hasOffer(1));
    CHECK(sent_.back().second.validFor == Millis(50));
    CHECK(queue_.running() == 1);
    CHECK(metrics_.counter("slot_offers") == 1);
}

// Guards against an offer that expires on the way to another region.
TEST_CASE_FIXTURE(ReservingHome, "reservation, sender in another region, gets a longer offer")
{
    reserve(other, 1, 1, otherLink);
    REQUIRE(hasOffer(1));
    CHECK(sent_.back().second.validFor == Millis(200));
}

// Guards against priority inversion between reservations: the order of arrival must not decide.
TEST_CASE_FIXTURE(ReservingHome, "reservations, more urgent one arrives later, gets the next slot")
{
    const std::uint64_t busy = occupy();
    reserve(sender, 1, 3);
    reserve(other, 2, 1, otherLink);
    CHECK(sent_.empty());
    free(busy);
    CHECK(hasOffer(2));
    CHECK_FALSE(hasOffer(1));
}

// Guards against a slot that serves two Works, or a Work that needs a second slot beside the held one.
TEST_CASE_FIXTURE(ReservingHome, "claim, of an offered reservation, takes over its slot once")
{
    reserve(sender, 1);
    const auto slot = service_.claim(sender, 1);
    REQUIRE(slot);
    CHECK(queue_.beginHeld(*slot, clock_.now()));
    CHECK_FALSE(service_.claim(sender, 1));
    CHECK(queue_.running() == 1);
    // The expiry of an offer that was used must not free the slot of running work.
    clock_.advance(Millis(1000));
    service_.expire();
    CHECK(queue_.running() == 1);
    CHECK(metrics_.counter("slot_offers_expired") == 0);
}

// Guards against one sender that uses a slot held for another, and against ids of an earlier incarnation.
TEST_CASE_FIXTURE(ReservingHome, "claim, by another sender or incarnation, gets no slot")
{
    reserve(sender, 1);
    CHECK_FALSE(service_.claim(other, 1));
    CHECK_FALSE(service_.claim(NodeRef{sender.id, sender.incarnation + 1}, 1));
    CHECK(service_.claim(sender, 1));
}

// Failure table: SlotOffer lost or late; sender dies, is suspended or partitioned after the offer; Work lost after it.
TEST_CASE_FIXTURE(ReservingHome, "offer, no Work within its validity, goes to the next reservation")
{
    reserve(sender, 1);
    reserve(other, 2, 1, otherLink);
    clock_.advance(Millis(49));
    service_.expire();
    CHECK_FALSE(hasOffer(2));
    clock_.advance(Millis(1));
    CHECK(service_.nextExpiry() <= clock_.now());
    service_.expire();
    CHECK(hasOffer(2));
    CHECK(metrics_.counter("slot_offers_expired") == 1);
    CHECK_FALSE(service_.claim(sender, 1));
    CHECK(service_.count() == 1);
}

// Failure table: the Work of an expired reservation is a new one. A late Work must not free or take the next one's
// slot.
TEST_CASE_FIXTURE(ReservingHome, "claim, after the validity and before the expiry ran, gets no slot and frees it")
{
    reserve(sender, 1);
    clock_.advance(Millis(60));
    CHECK_FALSE(service_.claim(sender, 1));
    CHECK(queue_.running() == 0);
    CHECK(service_.count() == 0);
    CHECK(metrics_.counter("slot_offers_expired") == 1);
}

// Failure table: duplicate offer, or two homes offer at the same time. The one that is released must not stay held.
TEST_CASE_FIXTURE(ReservingHome, "release, of an offered and of a waiting reservation, frees both")
{
    reserve(sender, 1);
    reserve(sender, 2);
    reserve(other, 3, 1, otherLink);
    service_.handle(sender, SlotRelease{2});
    service_.handle(sender, SlotRelease{1});
    CHECK(hasOffer(3));
    CHECK_FALSE(hasOffer(2));
    CHECK(metrics_.counter("slot_offers_released") == 1);
    CHECK(service_.count() == 1);
    service_.handle(sender, SlotRelease{1});
    CHECK(queue_.running() == 1);
}

// Failure table: sender dies. Its link closes, and none of its reservations may hold or get a slot.
TEST_CASE_FIXTURE(ReservingHome, "link closed, frees held and waiting reservations of its sender alone")
{
    reserve(sender, 1);
    reserve(sender, 2);
    reserve(other, 3, 2, otherLink);
    closedLinks_.insert(senderLink);
    service_.linkClosed(senderLink);
    CHECK(hasOffer(3));
    CHECK_FALSE(hasOffer(2));
    CHECK(service_.count() == 1);
}

// Guards against a slot that stays free beside waiting requests because its offer could not be sent.
TEST_CASE_FIXTURE(ReservingHome, "offer, that can't be sent, holds no slot")
{
    closedLinks_.insert(senderLink);
    reserve(sender, 1);
    CHECK(queue_.running() == 0);
    CHECK(service_.count() == 0);
}

// Failure table: home shuts down or its server leaves.
TEST_CASE_FIXTURE(ReservingHome, "closed home, refuses held, waiting and new reservations")
{
    reserve(sender, 1);
    reserve(sender, 2);
    closed_ = "stopping";
    for (const std::uint64_t id : queue_.removeWaiting()) {
        service_.slotRemoved(id, closed_);
    }
    service_.refuseAll(closed_);
    reserve(sender, 3);
    CHECK(refusalOf(1) == "stopping");
    CHECK(refusalOf(2) == "stopping");
    CHECK(refusalOf(3) == "stopping");
    CHECK(service_.count() == 0);
    CHECK(queue_.running() == 0);
    CHECK_FALSE(service_.claim(sender, 1));
}

// Guards against reservations without bound at a home that everyone asks.
TEST_CASE_FIXTURE(ReservingHome, "reservations, beyond the bound, are refused")
{
    occupy();
    for (std::uint64_t id = 1; id <= 5; ++id) {
        reserve(sender, id);
    }
    CHECK(service_.count() == 4);
    CHECK(refusalOf(5) == tooManyReservationsReason);
    // A repeated id is the same reservation.
    reserve(sender, 4);
    CHECK(service_.count() == 4);
}

// Guards against a reservation that waits beyond its latest useful start, and against a message that nobody waits for.
TEST_CASE_FIXTURE(ReservingHome, "reservation, latest useful start passes, ends without a message")
{
    occupy();
    reserve(sender, 1);
    clock_.advance(Millis(3000));
    poll();
    CHECK(service_.count() == 0);
    CHECK(sent_.empty());
}

// Guards against a sender that waits for a home whose queue has given its reservation up.
TEST_CASE_FIXTURE(ReservingHome, "reservation, queue gives it up early, is refused")
{
    occupy();
    reserve(sender, 1);
    for (const std::uint64_t id : queue_.removeWaiting()) {
        service_.slotRemoved(id, "queue-timeout");
    }
    CHECK(refusalOf(1) == "queue-timeout");
    CHECK(service_.count() == 0);
}

// Guards against a held slot that counts as work of the server: a sender that dies would make the server look gray.
TEST_CASE_FIXTURE(ReservingHome, "held slot, past every work time, is no evidence against the server")
{
    SlotQueue idle;
    idle.setServer(1, true, clock_.now());
    for (int i = 0; i < 40; ++i) {
        queue_.addResult("book", false, Millis(20), clock_.now());
        idle.addResult("book", false, Millis(20), clock_.now());
    }
    reserve(other, 1, 1, otherLink);
    clock_.advance(Millis(199));
    queue_.noteOverdueWork(clock_.now());
    CHECK(queue_.grayProbability(clock_.now()) == idle.grayProbability(clock_.now()));
    const auto slot = service_.claim(other, 1);
    REQUIRE(slot);
    queue_.beginHeld(*slot, clock_.now());
    queue_.noteOverdueWork(clock_.now());
    CHECK_FALSE(queue_.isOverdue(*slot));
}
