/**
 * Measures the growth rates in docs/CAPACITY.md that can be measured in one process: bytes, memory and processor time
 * of each kind of state and message, at five sizes over a tenfold range or more, with the least-squares line and its
 * largest residual.
 */
#include "include/claim/ClaimTable.h"
#include "include/home/ServiceHome.h"
#include "include/intent/ClassIntent.h"
#include "include/member/NodeRecord.h"
#include "include/member/RecordTable.h"
#include "include/member/Ring.h"
#include "include/poison/PoisonRegistry.h"
#include "include/report/BurnRecorder.h"
#include "include/route/HomeChooser.h"
#include "include/wire/Messages.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <memory>
#include <random>
#include <sys/resource.h>

namespace {

using namespace waxwing;

/** The value measured at one size. */
struct Point {
    double size = 0.0;
    double value = 0.0;
};

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec) + usage.ru_utime.tv_usec * 1e-6
           + static_cast<double>(usage.ru_stime.tv_sec) + usage.ru_stime.tv_usec * 1e-6;
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** Prints the least-squares line value = base + slope * size, and its largest residual in percent of the maximum. */
void printFit(const char *name, const char *unit, const std::vector<Point> &points)
{
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    const auto n = static_cast<double>(points.size());
    for (const Point &p : points) {
        sx += p.size;
        sy += p.value;
        sxx += p.size * p.size;
        sxy += p.size * p.value;
    }
    const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const double base = (sy - slope * sx) / n;
    double maxResidual = 0;
    double maxValue = 1e-12;
    for (const Point &p : points) {
        maxResidual = std::max(maxResidual, std::fabs(p.value - (base + slope * p.size)));
        maxValue = std::max(maxValue, std::fabs(p.value));
    }
    std::printf("%-34s slope %12.4f %-22s base %12.2f  residual %4.1f%%  at", name, slope, unit, base,
                100.0 * maxResidual / maxValue);
    for (const Point &p : points) {
        std::printf(" %.0f", p.size);
    }
    std::printf("\n");
    std::fflush(stdout);
}

/** Prints the fit of the heap bytes that the result of @p build occupies at each size. */
void memorySlope(const char *name, const std::vector<int> &sizes,
                 const std::function<std::shared_ptr<void>(int)> &build)
{
    std::vector<Point> points;
    for (const int size : sizes) {
        const std::size_t before = heapBytes();
        const std::shared_ptr<void> kept = build(size);
        points.push_back(Point{static_cast<double>(size), static_cast<double>(heapBytes() - before)});
    }
    printFit(name, "bytes each", points);
}

/** Prints the fit of the processor time of @p work in microseconds at each size, best of three runs. */
void timeSlope(const char *name, const char *unit, const std::vector<int> &sizes, const std::function<void(int)> &work)
{
    std::vector<Point> points;
    for (const int size : sizes) {
        double best = 1e9;
        for (int run = 0; run < 3; ++run) {
            const double before = processorSeconds();
            work(size);
            best = std::min(best, processorSeconds() - before);
        }
        points.push_back(Point{static_cast<double>(size), best * 1e6});
    }
    printFit(name, unit, points);
}

NodeRecord sampleNode(int number, int services)
{
    NodeRecord node;
    node.ref = {"node-" + std::to_string(number), 1796257895471306ULL + static_cast<std::uint64_t>(number)};
    node.address = "10.1.2.3";
    node.peerPort = 7001;
    node.httpPort = 7002;
    node.zone = "palermo-3";
    node.region = "palermo";
    for (int i = 0; i < services; ++i) {
        node.services["service-" + std::to_string((number * 31 + i * 97) % 5500)] = 2;
    }
    return node;
}

nlohmann::json sampleIntent(int routes)
{
    nlohmann::json list = nlohmann::json::array();
    for (int i = 0; i < routes; ++i) {
        list.push_back({{"methods", {"GET"}}, {"prefix", "/resource-" + std::to_string(i) + "/items"}});
    }
    const nlohmann::json cls = {{"routes", list},
                                {"idempotent", true},
                                {"responseTime", "300ms"},
                                {"successRate", "99.9%"},
                                {"healthyCapacityFloor", "8 servers"},
                                {"ejection", "fast"},
                                {"deadline", "3s"}};
    return {{"schema", 1}, {"operation", "0123456789abcdef"}, {"classes", {{"reading", cls}}}};
}

Record sampleService(int number, int routes, std::uint64_t revision)
{
    const nlohmann::json body = {false, sampleIntent(routes).dump()};
    return Record{RecordKind::Service, "service-" + std::to_string(number), RecordVersion{revision, 0},
                  nlohmann::json::to_cbor(body)};
}

Exec sampleExec(std::size_t bodyBytes)
{
    Exec exec;
    exec.id = 123456;
    exec.service = "course-desk";
    exec.className = "booking";
    exec.customer = "customer-123456";
    exec.ticket = "wx1.node-17.661afe1c8d91f.622.1";
    exec.remaining = Millis(3000);
    exec.request = {"POST",
                    "/bookings",
                    {{"Host", "course-desk"},
                     {"Content-Type", "application/json"},
                     {"User-Agent", "client/1.0"},
                     {"X-Request-Id", "abcdef"}},
                    std::string(bodyBytes, 'b')};
    return exec;
}

void benchState()
{
    const std::vector<int> nodes = {260, 650, 1300, 2000, 2600};
    memorySlope("node record (54 services)", nodes, [](int size) {
        auto table = std::make_shared<RecordTable>();
        for (int i = 0; i < size; ++i) {
            table->merge(toRecord(sampleNode(i, 54), 1));
        }
        return table;
    });
    memorySlope("node record, parsed", nodes, [](int size) {
        auto parsed = std::make_shared<std::vector<NodeRecord>>();
        parsed->reserve(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i) {
            parsed->push_back(sampleNode(i, 54));
        }
        return parsed;
    });
    const std::vector<int> services = {550, 1400, 2750, 4100, 5500};
    memorySlope("service record (14 routes)", services, [](int size) {
        auto table = std::make_shared<RecordTable>();
        for (int i = 0; i < size; ++i) {
            table->merge(sampleService(i, 14, static_cast<std::uint64_t>(i) + 1));
        }
        return table;
    });
    memorySlope("service intent, parsed (14 routes)", services, [](int size) {
        auto parsed = std::make_shared<std::vector<std::shared_ptr<const ServiceIntent>>>();
        for (int i = 0; i < size; ++i) {
            Findings findings;
            parsed->push_back(std::make_shared<const ServiceIntent>(
                parseServiceIntent("service-" + std::to_string(i), sampleIntent(14), findings)));
        }
        return parsed;
    });
    memorySlope("route, parsed", {14, 28, 56, 84, 140}, [](int size) {
        auto parsed = std::make_shared<std::vector<ServiceIntent>>();
        for (int i = 0; i < 100; ++i) {
            Findings findings;
            parsed->push_back(parseServiceIntent("s", sampleIntent(size), findings));
        }
        return parsed;
    });
    memorySlope("server at its home", {54, 108, 216, 378, 540}, [](int size) {
        const auto detectors = [](EjectionPolicy policy) { return std::make_unique<CusumDetector>(policy); };
        auto homes = std::make_shared<std::vector<std::unique_ptr<ServiceHome>>>();
        for (int i = 0; i < size; ++i) {
            homes->push_back(std::make_unique<ServiceHome>("s", NodeRef{"n", 1}, HomeTuning(), detectors,
                                                           [](const NodeRef &) { return std::nullopt; }));
            Announcement announcement;
            announcement.service = "s";
            announcement.server = "server-" + std::to_string(i);
            announcement.address = "10.1.2.3";
            homes->back()->announce(announcement, SteadyTime(std::chrono::hours(1)));
        }
        return homes;
    });
    static const SystemClock clock;
    memorySlope("claim with a 300-byte answer", {10000, 25000, 50000, 75000, 100000}, [](int size) {
        auto table = std::make_shared<ClaimTable>(NodeRef{"n1", 1}, clock,
                                                  ClaimLimits{1000000, 1000000000, std::chrono::hours(1)},
                                                  [](const NodeRef &) { return true; });
        for (int i = 0; i < size; ++i) {
            const Ticket ticket{{"n1", 1}, Millis(0), static_cast<std::uint64_t>(i)};
            table->begin(ticket, Millis(1), 1);
            table->finish(ticket, ClaimResult{Outcome::Ran, HttpResponse{200, {}, std::string(300, 'a')}});
        }
        return table;
    });
    memorySlope("customer waiting in a queue", {100, 250, 500, 750, 1000}, [](int size) {
        auto queue = std::make_shared<FairQueue>(1000000);
        for (int i = 0; i < size; ++i) {
            queue->push(QueuedRequest{static_cast<std::uint64_t>(i), "c", "customer-" + std::to_string(i), {}});
        }
        return queue;
    });
    memorySlope("class in the burn report, 3 days", {110, 275, 550, 825, 1100}, [](int size) {
        class HourClock final : public Clock
        {
        public:
            SteadyTime now() const override
            {
                return SteadyTime(at);
            }
            WallTime wallNow() const override
            {
                return WallTime(at);
            }
            Millis at = std::chrono::hours(1000);
        };
        static HourClock burnClock;
        auto recorder = std::make_shared<BurnRecorder>(burnClock);
        for (int slice = 0; slice < 900; ++slice) {
            for (int i = 0; i < size; ++i) {
                recorder->record("service-" + std::to_string(i), "reading", BurnResult::Good);
            }
            burnClock.at += BurnRecorder::slice;
        }
        return recorder;
    });
    memorySlope("home known to ingress", {54, 540, 1300, 2600, 5400}, [](int size) {
        auto chooser = std::make_shared<HomeChooser>([] { return 1; });
        for (int i = 0; i < size; ++i) {
            chooser->noteSent("service-" + std::to_string(i), NodeRef{"node-" + std::to_string(i), 1});
        }
        return chooser;
    });
}

void benchMessages()
{
    const auto bytes = [](const Message &message) { return static_cast<double>(encodeMessage(message).size()); };
    std::printf(
        "bytes of ping %.0f, digest offer %.0f, exec without body %.0f, reply without body %.0f, push of one node "
        "record (54 services) %.0f, push of one service record (14 routes) %.0f\n",
        bytes(Ping{123456}), bytes(DigestOffer{}), bytes(sampleExec(0)), bytes(ExecReply{}),
        bytes(RecordsPush{{toRecord(sampleNode(1, 54), 1)}}), bytes(RecordsPush{{sampleService(1, 14, 1)}}));
    std::vector<Point> points;
    for (const int size : {0, 13, 27, 40, 54}) {
        points.push_back(Point{static_cast<double>(size), bytes(RecordsPush{{toRecord(sampleNode(1, size), 1)}})});
    }
    printFit("node record on the wire", "bytes a service", points);
    points.clear();
    for (const int size : {4, 7, 14, 28, 56}) {
        points.push_back(Point{static_cast<double>(size), bytes(RecordsPush{{sampleService(1, size, 1)}})});
    }
    printFit("service record on the wire", "bytes a route", points);
    points.clear();
    for (const int members : {26, 260, 650, 1300, 2600}) {
        std::vector<std::string> ids;
        ids.reserve(static_cast<std::size_t>(members));
        for (int i = 0; i < members; ++i) {
            ids.push_back("node-" + std::to_string(i));
        }
        std::printf("gossip partners at %d nodes: %zu\n", members, gossipPartners("node-0", ids).size());
    }
    timeSlope("exec there and back, codec", "us each", {1000, 2500, 5000, 7500, 10000}, [](int size) {
        for (int i = 0; i < size; ++i) {
            const auto exec = decodeMessage(encodeMessage(sampleExec(200)));
            ExecReply reply;
            reply.response.body = std::string(300, 'a');
            const auto back = decodeMessage(encodeMessage(reply));
            if (!exec || !back) {
                std::abort();
            }
        }
    });
    timeSlope("take a pushed node record", "us each", {260, 650, 1300, 2000, 2600}, [](int size) {
        RecordTable table;
        for (int i = 0; i < size; ++i) {
            const auto message = decodeMessage(encodeMessage(RecordsPush{{toRecord(sampleNode(i, 54), 1)}}));
            for (const Record &record : std::get<RecordsPush>(*message).records) {
                table.merge(record);
                (void)nodeFromRecord(record);
            }
        }
    });
    timeSlope("take a changed intent (14 routes)", "us each", {100, 250, 500, 750, 1000}, [](int size) {
        RecordTable table;
        for (int i = 0; i < size; ++i) {
            const auto message = decodeMessage(encodeMessage(RecordsPush{{sampleService(i, 14, 1)}}));
            for (const Record &record : std::get<RecordsPush>(*message).records) {
                table.merge(record);
                Findings findings;
                const nlohmann::json body = nlohmann::json::from_cbor(record.payload);
                parseServiceIntent(record.key, nlohmann::json::parse(body[1].get<std::string>()), findings);
            }
        }
    });
}

void benchWork()
{
    timeSlope("home tick", "us a server", {54, 108, 216, 378, 540}, [](int size) {
        const auto detectors = [](EjectionPolicy policy) { return std::make_unique<CusumDetector>(policy); };
        std::vector<std::unique_ptr<ServiceHome>> homes;
        const SteadyTime now(std::chrono::hours(1));
        for (int i = 0; i < size; ++i) {
            homes.push_back(std::make_unique<ServiceHome>("s", NodeRef{"n", 1}, HomeTuning(), detectors,
                                                          [](const NodeRef &) { return std::nullopt; }));
            Announcement announcement;
            announcement.service = "s";
            announcement.server = "server-" + std::to_string(i);
            homes.back()->announce(announcement, now);
        }
        for (int tick = 0; tick < 100; ++tick) {
            for (const auto &home : homes) {
                home->tick(now);
            }
        }
    });
    std::printf("(home tick: 100 ticks of each server; divide by 100)\n");
    timeSlope("announcement", "us each", {1000, 2500, 5000, 7500, 10000}, [](int size) {
        Announcement announcement;
        announcement.service = "course-desk";
        announcement.server = "server-1";
        announcement.address = "10.1.2.3";
        announcement.port = 80;
        for (int i = 0; i < size; ++i) {
            Findings findings;
            (void)parseAnnouncement(announcementJson(announcement), findings);
        }
    });
    timeSlope("choose among homes", "us a home (1000 choices)", {3, 6, 12, 25, 50}, [](int size) {
        std::mt19937_64 random(1);
        HomeChooser chooser([&] { return random(); });
        std::vector<HomeCandidate> homes;
        homes.reserve(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i) {
            homes.push_back(HomeCandidate{NodeRef{"node-" + std::to_string(i), 1}, Distance::SameZone, 2});
        }
        const SteadyTime now(std::chrono::hours(1));
        for (int i = 0; i < 1000; ++i) {
            const HomeCandidate *chosen = chooser.choose("s", homes, {}, now);
            chooser.noteSent("s", chosen->node);
            chooser.noteDone("s", chosen->node, false, now);
        }
    });
    timeSlope("find the class of a request", "us a route (1000 finds)", {14, 28, 56, 84, 140}, [](int size) {
        Findings findings;
        const ServiceIntent intent = parseServiceIntent("s", sampleIntent(size), findings);
        for (int i = 0; i < 1000; ++i) {
            if (intent.classFor("GET", "/resource-3/items/17") == nullptr) {
                std::abort();
            }
        }
    });
}

} // namespace

int main()
{
    std::printf("== state\n");
    benchState();
    std::printf("== messages\n");
    benchMessages();
    std::printf("== work\n");
    benchWork();
    return 0;
}
