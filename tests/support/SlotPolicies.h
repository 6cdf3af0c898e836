#pragma once

#include "include/overload/CallAdmission.h"
#include "include/schedule/OfferedSlots.h"
#include "include/schedule/ReservationPlanner.h"
#include "tests/support/HomeFleetModel.h"

namespace waxwing::testing {

/** Sends each request to one home after another, as production does without reservations; or to a random or the best.
 */
class PollingPolicy : public SlotPolicy
{
public:
    PollingPolicy(HomeFleetModel &model, HomePolicy policy);
    void arrive(const FleetRequestPtr &request) override;
    void workEnded(int home, const FleetRequestPtr &request, Duration took) override;
    void callEnded(int home, bool succeeded) override;
    void serverLeft(int home) override;

protected:
    /** What a home knows of an id in its SlotQueue. */
    struct Entry {
        FleetRequestPtr request;
        bool isReservation = false;
    };
    struct Home {
        SlotQueue queue;
        std::unique_ptr<CallAdmission> calls;
        std::map<std::uint64_t, Entry> entries;
        /** For HomePolicy::Oracle: when each slot becomes free, by the work assigned to it. */
        std::vector<SteadyTime> freeAt;
        bool pollScheduled = false;
    };

    Home &homeAt(int home);
    HomeRanking &rankingOf(const FleetRequest &request);
    HomeQuery queryOf(const FleetRequest &request) const;
    SlotRequest slotRequestOf(const FleetRequest &request) const;
    HomeLoad loadOf(int home, const FleetRequest &request);
    void noteLoad(const FleetRequest &request, int home, const HomeLoad &load);
    void send(const FleetRequestPtr &request, int home, Millis queueTimeout);
    void submit(int home, const FleetRequestPtr &request);
    /** Starts what waits in free slots. @p idleSince: since when the slots are free. */
    void poll(int home, SteadyTime idleSince);
    void schedulePoll(int home);
    void refuse(int home, const FleetRequestPtr &request);
    /** Ends the request if as many homes as production asks have refused it because its calls would fail. */
    bool endIfUnserved(const FleetRequestPtr &request);

    virtual void dispatch(const FleetRequestPtr &request);
    /** Called when the Work was refused or left the home's queue. */
    virtual void onRefused(const FleetRequestPtr &request);
    virtual void onStart(int home, std::uint64_t id, SteadyTime idleSince);
    virtual void onExpired(int home, std::uint64_t id);

private:
    int chooseFirstFree(const FleetRequest &request);

    HomePolicy policy_;
    std::vector<Home> homes_;
    std::vector<HomeRanking> rankings_;
    /** By route, as the homes would learn them. */
    std::map<std::string, CallRates> callRates_;
};

/** Late binding by reservations: sends to a home that is expected to be free, otherwise reserves. */
class ReservationPolicy final : public PollingPolicy
{
public:
    explicit ReservationPolicy(HomeFleetModel &model);

private:
    void dispatch(const FleetRequestPtr &request) override;
    void onRefused(const FleetRequestPtr &request) override;
    void onStart(int home, std::uint64_t id, SteadyTime idleSince) override;
    void onExpired(int home, std::uint64_t id) override;
    void reserve(const FleetRequestPtr &request);
    void submitReservation(int home, std::uint64_t id, const FleetRequestPtr &request);
    /** @p accepted: false refuses the reservation. */
    void offer(int home, std::uint64_t id, bool accepted, SteadyTime idleSince);
    void onOffer(int home, std::uint64_t id, bool accepted, const FleetRequestPtr &request);
    void bind(int home, std::uint64_t id, const FleetRequestPtr &request);
    std::int32_t &reservedAt(const FleetRequest &request, int home);
    void sendRelease(int home, std::uint64_t id, const FleetRequest &request);
    void freeHeld(int home, std::uint64_t slotId);
    void scheduleExpiry(int home);
    void giveUp(const FleetRequestPtr &request);
    SlotNeed needOf(const FleetRequest &request) const;
    std::vector<ReservationCandidate> candidatesFor(const FleetRequest &request);

    ReservationPlanner planner_;
    /** By home. */
    std::vector<OfferedSlots> offered_;
    /** By sender and home: reservations without an offer. */
    std::vector<std::vector<std::int32_t>> reserved_;
    /** By slot: since when it is free beside the reservation that it is offered to. */
    std::map<std::uint64_t, SteadyTime> idleSince_;
};

/**
 * One queue per zone at one node, as an ideal: it knows its zone's slots exactly, and the other zones' free slots as of
 * the last exchange. Senders ask it for every request; homes announce each free slot to it.
 */
class ZoneQueuePolicy final : public SlotPolicy
{
public:
    explicit ZoneQueuePolicy(HomeFleetModel &model);
    void arrive(const FleetRequestPtr &request) override;
    void workEnded(int home, const FleetRequestPtr &request, Duration took) override;
    void serverLeft(int home) override;

private:
    struct Zone {
        /** All slots of the zone. */
        SlotQueue queue;
        std::map<std::uint64_t, FleetRequestPtr> requests;
        /** By home of the fleet: slots that no request has, as the queue knows them. */
        std::vector<int> freeSlots;
        /** As of the last exchange, less what was forwarded since. */
        std::vector<int> otherFree;
        SteadyTime exchangedAt;
        bool pollScheduled = false;
    };

    void enqueue(int zone, const FleetRequestPtr &request, bool forwarded);
    /** Returns a zone with free slots to forward to; -1 if there is none. */
    int zoneWithRoom(int zone);
    void exchange(int zone);
    void poll(int zone);
    void grant(int zone, const FleetRequestPtr &request);
    void refuse(int zone, const FleetRequestPtr &request);
    Distance zoneDistance(int a, int b) const;

    std::vector<Zone> zones_;
};

} // namespace waxwing::testing
