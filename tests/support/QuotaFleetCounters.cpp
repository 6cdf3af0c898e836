#include "tests/support/QuotaFleetModel.h"

#include <algorithm>

namespace waxwing::testing {

namespace {

constexpr Millis loanInterval{400};
constexpr Millis standInAnnounceInterval{1000};
/** How long after a cut the first and the last failed path is known. */
constexpr Millis firstPathFailed{600};
constexpr Millis lastPathFailed{1500};

} // namespace

QuotaCounter &QuotaFleetModel::counterAt(std::size_t index)
{
    Node &node = nodes_[index];
    if (!node.counter) {
        const bool isFirst = node.election.isFirst(node.name, customer);
        const bool isNew = node.startedAt > events_.now() - tuning_.window;
        const CounterStart ownStart = isNew ? CounterStart::AfterLoss : CounterStart::Fresh;
        QuotaTuning tuning = tuning_;
        tuning.slack /= policy_ == QuotaPolicy::RegionCounters ? load_.regions : 1;
        node.counter.emplace(counterLimit(), tuning, isFirst ? ownStart : CounterStart::InPlaceOfOther, events_.now());
    }
    return *node.counter;
}

RegionNodes QuotaFleetModel::regionNodes(std::size_t index) const
{
    RegionNodes nodes{0, 0};
    double cutOff = 0.0;
    for (const Node &other : nodes_) {
        const bool isInRegion = other.region == nodes_[index].region;
        nodes.all += isInRegion ? 1 : 0;
        cutOff += isInRegion && other.isCut != nodes_[index].isCut ? 1.0 : 0.0;
    }
    const double sinceCut = secondsOf(events_.now() - start_ - load_.cutFrom - firstPathFailed);
    const double known = std::clamp(sinceCut / secondsOf(lastPathFailed - firstPathFailed), 0.0, 1.0);
    nodes.reachable = nodes.all - static_cast<std::size_t>(known * cutOff);
    return nodes;
}

QuotaFleetModel::Reply QuotaFleetModel::countAll(std::size_t counter, std::size_t from,
                                                 const std::vector<QuotaUse> &uses)
{
    Reply reply;
    for (const QuotaUse &use : uses) {
        reply = count(counter, from, use);
    }
    return reply;
}

QuotaFleetModel::Reply QuotaFleetModel::count(std::size_t counter, std::size_t from, const QuotaUse &use)
{
    Node &node = nodes_[counter];
    counterAt(counter).setLimit(counterLimit(), events_.now());
    const CountedUse counted = node.counter->count(nodes_[from].name, use, regionNodes(counter), events_.now());
    Reply reply;
    reply.granted = counted.granted;
    if (load_.standInReports && policy_ == QuotaPolicy::RegionCounters
        && node.election.firstOf(customer) != node.name) {
        node.standInUse.add(use, counted, counterLimit().burst, events_.now());
    }
    reply.retryAfter = node.counter->retryAfter(events_.now());
    reply.mode = node.counter->mode(events_.now());
    const bool isDue = node.announced != reply.mode || events_.now() - node.announcedAt >= tuning_.window;
    const bool isExcluded = use.isFromStandIn() && events_.now() - node.announcedAt >= standInAnnounceInterval;
    if (policy_ == QuotaPolicy::RegionCounters && (isExcluded || (reply.mode == QuotaMode::Metered && isDue))) {
        node.announcedAt = events_.now();
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].region == node.region && i != counter) {
                send(counter, i, [this, i, counter, mode = reply.mode] {
                    nodes_[i].ledger->setMode(customer, mode, events_.now());
                    nodes_[i].election.noteReachable(nodes_[counter].name);
                });
            }
        }
    }
    node.announced = reply.mode;
    if (policy_ == QuotaPolicy::RegionCounters && node.counter->needsLoan(events_.now())
        && events_.now() - node.borrowedAt >= loanInterval) {
        node.borrowedAt = events_.now();
        borrow(counter);
    }
    return reply;
}

void QuotaFleetModel::borrow(std::size_t counter)
{
    // The first nodes by number are one of each region, so their elections name the counters of all regions.
    for (int region = 0; region < load_.regions; ++region) {
        const std::optional<std::size_t> lender = counterOf(static_cast<std::size_t>(region));
        if (region == nodes_[counter].region || !lender) {
            continue;
        }
        const std::size_t i = *lender;
        const double wanted = nodes_[counter].counter->loanWanted(events_.now());
        send(counter, i, [this, i, counter, wanted] {
            const double lent = counterAt(i).lend(wanted, events_.now());
            send(i, counter, [this, counter, lent] {
                if (nodes_[counter].counter) {
                    nodes_[counter].counter->borrow(lent, events_.now());
                }
            });
        });
    }
}

} // namespace waxwing::testing
