#include "src/sidecar/SecondSendService.h"

#include "src/fiber/WaitPoint.h"
#include "src/node/NodeCore.h"
#include "src/sidecar/RosterKeeper.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Lenders answer within a round trip of the region, some 3 ms. */
constexpr Millis lenderTimeout{60};
constexpr BorrowTuning borrowing;
/** Pause after nobody had anything to lend: the windows of the lenders move on by a step of half a second. */
constexpr Millis dryPause{500};
/** Requests that went short are remembered for some steps of the window. */
constexpr Millis shortMemory{2000};

} // namespace

SecondSendService::SecondSendService(NodeCore &core, SecondSendTuning tuning)
    : core_(core)
    , tuning_(tuning)
{ }

SecondSendBudget &SecondSendService::budgetOf(const std::string &service)
{
    return budgets_.try_emplace(service, tuning_).first->second;
}

std::size_t SecondSendService::nodes() const
{
    return std::max<std::size_t>(1, core_.service<RosterKeeper>("roster").roster().size());
}

void SecondSendService::noteRequest(const std::string &service)
{
    budgetOf(service).noteRequest(core_.clock.now());
}

void SecondSendService::noteDenied(const std::string &service, int rank)
{
    denied_[service][rank] = core_.clock.now();
}

SecondSend SecondSendService::purposeOf(const std::string &service, int rank) const
{
    const auto found = denied_.find(service);
    if (found == denied_.end()) {
        return SecondSend::AfterFailure;
    }
    const SteadyTime since = core_.clock.now() - shortMemory;
    const bool yields = std::any_of(found->second.begin(), found->second.end(),
                                    [&](const auto &seen) { return seen.first < rank && seen.second >= since; });
    return yields ? SecondSend::AfterLessUrgentFailure : SecondSend::AfterFailure;
}

bool SecondSendService::has(const CallRates &sends, SecondSend purpose) const
{
    const SteadyTime now = core_.clock.now();
    return std::all_of(sends.begin(), sends.end(), [&](const auto &one) {
        const auto found = budgets_.find(one.first);
        return found == budgets_.end() ? SecondSendBudget(tuning_).has(one.second, nodes(), purpose, now)
                                       : found->second.has(one.second, nodes(), purpose, now);
    });
}

bool SecondSendService::mayHave(const CallRates &sends, SecondSend purpose) const
{
    const SteadyTime now = core_.clock.now();
    return std::all_of(sends.begin(), sends.end(), [&](const auto &one) {
        const auto dry = dryUntil_.find(one.first);
        const bool borrowable = dry == dryUntil_.end() || now >= dry->second;
        return borrowable || has({one}, purpose);
    });
}

bool SecondSendService::spend(const CallRates &sends, SecondSend purpose)
{
    if (purpose != SecondSend::Hedge) {
        for (const auto &[service, count] : sends) {
            if (!has({{service, count}}, purpose)) {
                borrow(service, count, purpose);
            }
        }
    }
    if (!has(sends, purpose)) {
        return false;
    }
    take(sends);
    return true;
}

void SecondSendService::take(const CallRates &sends)
{
    for (const auto &[service, count] : sends) {
        budgetOf(service).take(count, core_.clock.now());
    }
}

void SecondSendService::giveBack(const CallRates &sends)
{
    for (const auto &[service, count] : sends) {
        budgetOf(service).giveBack(count, core_.clock.now());
    }
}

std::vector<RosterEntry> SecondSendService::lenders() const
{
    std::vector<RosterEntry> near;
    for (const RosterEntryPtr &entry : core_.service<RosterKeeper>("roster").roster().all()) {
        if (entry->region == core_.settings.region && entry->id != core_.self.id) {
            near.push_back(*entry);
        }
    }
    if (near.empty()) {
        return near;
    }
    std::rotate(near.begin(), near.begin() + static_cast<std::ptrdiff_t>(core_.random() % near.size()), near.end());
    near.resize(std::min(near.size(), borrowing.mostLenders));
    return near;
}

void SecondSendService::borrow(const std::string &service, double sends, SecondSend purpose)
{
    const auto dry = dryUntil_.find(service);
    if (dry != dryUntil_.end() && core_.clock.now() < dry->second) {
        return;
    }
    double borrowed = 0.0;
    for (const RosterEntry &lender : lenders()) {
        const double lent = askOne(lender, service, sends + borrowing.ahead - borrowed, purpose);
        budgetOf(service).borrow(lent, core_.clock.now());
        borrowed += lent;
        if (has({{service, sends}}, purpose)) {
            break;
        }
    }
    if (borrowed < sends) {
        dryUntil_[service] = core_.clock.now() + dryPause;
    }
    core_.metrics.count(borrowed > 0.0 ? "second_sends_borrowed" : "second_sends_not_lent");
    core_.events.writeRequest(
        Severity::Info, "second_sends_borrowed",
        {{"service", service}, {"asked", std::to_string(sends)}, {"borrowed", std::to_string(borrowed)}});
}

double SecondSendService::askOne(const RosterEntry &lender, const std::string &service, double sends,
                                 SecondSend purpose)
{
    PeerHub &peers = core_.service<PeerHub>("peers");
    const Expected<LinkId> link = peers.linkAt(lender.links, lenderTimeout);
    const std::uint64_t id = nextId_++;
    if (!link || !peers.reply(*link, LendRequest{id, service, sends, purpose != SecondSend::AfterFailure})) {
        core_.metrics.count("lenders_not_reached");
        return 0.0;
    }
    const auto pending = std::make_shared<Pending>();
    pending->point = std::make_shared<WaitPoint>();
    pending_[id] = pending;
    const SteadyTime until = core_.clock.now() + lenderTimeout;
    while (!pending->answered && core_.clock.now() < until) {
        pending->point->wait(core_.ioContext, until - core_.clock.now());
    }
    pending_.erase(id);
    return pending->sends;
}

void SecondSendService::handle(LinkId link, const LendRequest &request)
{
    const SecondSend purpose = request.lessUrgent ? SecondSend::AfterLessUrgentFailure : SecondSend::AfterFailure;
    const double lent = budgetOf(request.service).lend(request.sends, purpose, nodes(), core_.clock.now());
    core_.service<PeerHub>("peers").reply(link, LendReply{request.id, lent});
}

void SecondSendService::handleReply(const LendReply &reply)
{
    // A reply after the timeout is dropped: the lender counts it as sent, so the bound holds all the same.
    const auto found = pending_.find(reply.id);
    if (found != pending_.end()) {
        found->second->answered = true;
        found->second->sends = reply.sends;
        found->second->point->wake();
    }
}

} // namespace waxwing
