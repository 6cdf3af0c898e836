#include "tests/support/ReportingZoneModel.h"

#include <algorithm>

namespace waxwing::testing {

namespace {

const SteadyTime startOfModel = SteadyTime(std::chrono::hours(1));
constexpr Millis linkDelay{1};
constexpr Millis workTime{250};
constexpr Millis objective{1000};
constexpr Millis deadline{4000};
constexpr Millis reportRound{200};
constexpr std::size_t peersPerRound = 2;
constexpr std::uint32_t slots = 3;
constexpr double grayFailureRate = 0.7;
constexpr int bookingPriority = 2;
const char *const route = "booking";

} // namespace

double ZoneCounts::failedShare() const
{
    return static_cast<double>(bookingsFailed) / std::max(1, bookings);
}

ReportingZoneModel::Node::Node(const std::string &nameIn, std::mt19937_64 &random, const RankingTuning &tuning)
    : name(nameIn)
    , ranking([&random] { return random(); }, tuning)
    , table(nameIn, 1)
{ }

ReportingZoneModel::ReportingZoneModel(const ZoneLoad &load, std::uint32_t seed)
    : load_(load)
    , random_(seed)
    , events_(startOfModel)
    , start_(startOfModel)
{
    std::set<std::string> names;
    for (int i = 0; i < load_.nodes; ++i) {
        nodes_.emplace_back("node-" + std::to_string(i), random_, load_.ranking);
        names.insert(nodes_.back().name);
        if (i < load_.homes) {
            nodes_.back().queue.setServer(slots, true, start_);
            homes_.push_back(RankedHome{nodes_.back().name, Distance::SameZone});
        }
    }
    for (Node &node : nodes_) {
        node.ranking.keepOnly(names);
    }
}

double ReportingZoneModel::uniform()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
}

bool ReportingZoneModel::isGray(int home) const
{
    if (home < load_.gray) {
        return true;
    }
    const int turn = home - load_.gray;
    if (turn >= load_.turnGray) {
        return false;
    }
    const Duration interval = (load_.duration - load_.countedFrom) / load_.turnGray;
    const SteadyTime since = start_ + load_.countedFrom + interval * turn;
    return events_.now() >= since && events_.now() < since + load_.grayFor;
}

ZoneCounts ReportingZoneModel::run()
{
    scheduleArrival();
    for (int i = 0; load_.sharesReports && i < load_.nodes; ++i) {
        const auto first = static_cast<std::int64_t>(uniform() * static_cast<double>(reportRound.count()));
        events_.add(start_ + Millis(first), [this, i] { exchangeReports(i); });
    }
    events_.run(start_ + load_.duration);
    int all = 0;
    for (int i = 0; i < load_.homes; ++i) {
        const int sends = nodes_[static_cast<std::size_t>(i)].sends;
        all += sends;
        counts_.busiest = std::max(counts_.busiest, sends);
        counts_.unused += sends == 0 ? 1 : 0;
    }
    counts_.mean = static_cast<double>(all) / load_.homes;
    return counts_;
}

void ReportingZoneModel::scheduleArrival()
{
    const double seconds = std::exponential_distribution<double>(load_.requestsPerNode * load_.nodes)(random_);
    events_.add(events_.now() + durationOf(seconds), [this] {
        Request request;
        request.id = nextId_++;
        request.sender = static_cast<int>(uniform() * load_.nodes);
        request.booking = uniform() < load_.bookingShare;
        request.counted = events_.now() >= start_ + load_.countedFrom;
        counts_.bookings += request.booking && request.counted ? 1 : 0;
        send(std::move(request));
        scheduleArrival();
    });
}

void ReportingZoneModel::send(Request request)
{
    Node &sender = nodes_[static_cast<std::size_t>(request.sender)];
    HomeQuery query;
    query.retryable = !request.booking;
    query.priority = bookingPriority;
    query.untilObjective = objective;
    query.untilDeadline = deadline;
    query.workTime = workTime;
    const HomeChoice choice = sender.ranking.choose(homes_, request.tried, query, events_.now());
    if (choice.node.empty()) {
        return;
    }
    sender.ranking.noteSent(choice.node);
    const auto home = static_cast<int>(
        std::find_if(homes_.begin(), homes_.end(), [&](const RankedHome &one) { return one.node == choice.node; })
        - homes_.begin());
    request.tried.insert(choice.node);
    events_.add(events_.now() + linkDelay, [this, home, request] { serve(home, request); });
}

void ReportingZoneModel::serve(int home, const Request &request)
{
    Node &node = nodes_[static_cast<std::size_t>(home)];
    node.sends += request.counted ? 1 : 0;
    SlotRequest slot;
    slot.id = request.id;
    slot.route = route;
    slot.retryable = !request.booking;
    slot.priority = bookingPriority;
    slot.objective = events_.now() + objective;
    slot.deadline = events_.now() + deadline;
    if (node.queue.submit(slot, events_.now()).action != SlotAction::Start) {
        // Refused, which costs the request a round trip: it goes to another home.
        events_.add(events_.now() + linkDelay, [this, home, request] {
            Node &sender = nodes_[static_cast<std::size_t>(request.sender)];
            Node &refusing = nodes_[static_cast<std::size_t>(home)];
            sender.ranking.noteDone(refusing.name);
            sender.ranking.noteLoad(refusing.name, refusing.queue.load(bookingPriority, events_.now()), bookingPriority,
                                    events_.now());
            send(request);
        });
        return;
    }
    const bool fails = isGray(home) && uniform() < grayFailureRate;
    const Duration took = fails ? Duration(Millis(5)) : Duration(workTime);
    events_.add(events_.now() + took, [this, home, request, fails, took] { finish(home, request, fails, took); });
}

void ReportingZoneModel::finish(int home, const Request &request, bool failed, Duration took)
{
    Node &node = nodes_[static_cast<std::size_t>(home)];
    node.queue.addResult(route, failed, took, events_.now());
    node.queue.release(request.id, events_.now());
    node.reportIsDue = true;
    counts_.bookingsFailed += failed && request.booking && request.counted ? 1 : 0;
    events_.add(events_.now() + linkDelay, [this, home, request, failed] {
        Node &sender = nodes_[static_cast<std::size_t>(request.sender)];
        Node &served = nodes_[static_cast<std::size_t>(home)];
        sender.ranking.noteDone(served.name);
        sender.ranking.noteLoad(served.name, served.queue.load(bookingPriority, events_.now()), bookingPriority,
                                events_.now());
        if (failed && !request.booking && request.tried.size() < 2) {
            send(request);
        }
    });
}

void ReportingZoneModel::exchangeReports(int index)
{
    Node &node = nodes_[static_cast<std::size_t>(index)];
    if (node.reportIsDue) {
        node.reportIsDue = false;
        node.table.setOwn(node.queue.load(0, events_.now()), events_.now());
    }
    const std::uint64_t group = reportGroup(node.name, nodes_.size());
    for (std::size_t sent = 0; sent < peersPerRound && node.table.hasUnsent(events_.now());) {
        const std::size_t peer = random_() % nodes_.size();
        if (reportGroup(nodes_[peer].name, nodes_.size()) != group) {
            continue;
        }
        ++sent;
        const std::vector<HomeReport> reports = node.table.take(events_.now());
        events_.add(events_.now() + linkDelay, [this, peer, reports] {
            Node &receiver = nodes_[peer];
            for (const HomeReport &report : reports) {
                if (receiver.table.add(report, events_.now())) {
                    receiver.ranking.noteReport(report.node, report.load, events_.now() - report.age);
                }
            }
        });
    }
    events_.add(events_.now() + reportRound, [this, index] { exchangeReports(index); });
}

} // namespace waxwing::testing
