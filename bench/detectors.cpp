/**
 * Compares detectors on the same scripted faults: detection time for the unhealthy server and false ejections, for two
 * ejection policies at low and high traffic. Run: bench-detectors [quick|full]; full lengthens the runs without faults.
 */
#include "tests/support/HomeRig.h"

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace {

using namespace waxwing;
using namespace waxwing::testing;
using std::chrono::seconds;

struct Fault {
    const char *name;
    std::function<void(FakeServer &, SteadyTime now)> set;
    bool wholeService = false;
    /** Length of the fault; zero: it does not end. */
    Millis lasts{0};
    /** No server should be ejected. */
    bool harmless = false;
};

struct Choice {
    const char *name;
    DetectorFactory make;
};

const std::vector<Choice> choices = {
    {"consecutive", [](EjectionPolicy policy) { return std::make_unique<ConsecutiveDetector>(policy); }},
    {"outlier", [](EjectionPolicy policy) { return std::make_unique<OutlierDetector>(policy); }},
    {"cusum", [](EjectionPolicy policy) { return std::make_unique<CusumDetector>(policy); }},
};

const std::vector<Fault> faults = {
    {"stall 100%", [](FakeServer &s, SteadyTime) { s.stallShare = 1.0; }, false, Millis(0), false},
    {"stall 20%", [](FakeServer &s, SteadyTime) { s.stallShare = 0.2; }, false, Millis(0), false},
    {"slow x5", [](FakeServer &s, SteadyTime) { s.slowFactor = 5.0; }, false, Millis(0), false},
    {"errors 30%", [](FakeServer &s, SteadyTime) { s.errorShare = 0.3; }, false, Millis(0), false},
    {"flapping 2 s", [](FakeServer &s, SteadyTime) { s.flapPeriod = seconds(2); }, false, Millis(0), false},
    {"cold start 5 s",
     [](FakeServer &s, SteadyTime now) {
         ++s.incarnation;
         s.coldUntil = now + seconds(5);
     },
     false, Millis(0), true},
    {"short burst 300 ms", [](FakeServer &s, SteadyTime) { s.slowFactor = 5.0; }, false, Millis(300), true},
    {"whole service slow", [](FakeServer &s, SteadyTime) { s.slowFactor = 6.0; }, true, Millis(0), true},
};

constexpr int runs = 21;
constexpr seconds faultAt{20};
constexpr seconds observationTime{40};

void compare(EjectionPolicy policy, double rate)
{
    for (const Fault &fault : faults) {
        for (const Choice &choice : choices) {
            std::vector<double> detection;
            int missed = 0;
            int falseEjections = 0;
            for (int run = 0; run < runs; ++run) {
                RigOptions options;
                options.rate = rate;
                options.policy = policy;
                options.detectors = choice.make;
                options.seed = static_cast<std::uint64_t>(run) + 1;
                HomeRig rig(options);
                rig.at(faultAt, [&] {
                    rig.resetFirstLate();
                    for (const std::string &name : rig.serverNames()) {
                        if (fault.wholeService || name == "s3") {
                            fault.set(rig.server(name), rig.now());
                        }
                    }
                });
                if (fault.lasts > Millis(0)) {
                    rig.at(faultAt + fault.lasts, [&] { rig.server("s3") = FakeServer{}; });
                }
                rig.runUntil(faultAt + observationTime);
                bool found = false;
                for (const Ejection &ejection : rig.ejections()) {
                    const bool correct =
                        ejection.server == "s3" && ejection.at >= rig.start() + faultAt && !fault.harmless;
                    falseEjections += correct ? 0 : 1;
                    if (correct && !found) {
                        found = true;
                        const SteadyTime from = std::max(rig.firstLate("s3"), rig.start() + faultAt);
                        detection.push_back(secondsOf(ejection.at - from));
                    }
                }
                missed += found || fault.harmless ? 0 : 1;
            }
            std::sort(detection.begin(), detection.end());
            const auto quantile = [&](double q) {
                return detection.empty()
                           ? -1.0
                           : detection[static_cast<std::size_t>(q * static_cast<double>(detection.size() - 1))];
            };
            std::printf("%-9s %5.0f/s  %-20s %-12s median %6.2f s  worst %6.2f s  missed %2d/%d  false %d\n",
                        ejectionPolicyName(policy), rate, fault.name, choice.name, quantile(0.5), quantile(1.0), missed,
                        runs, falseEjections);
            std::fflush(stdout);
        }
    }
}

void healthy(EjectionPolicy policy, double rate, std::chrono::hours length)
{
    for (const Choice &choice : choices) {
        RigOptions options;
        options.rate = rate;
        options.policy = policy;
        options.detectors = choice.make;
        HomeRig rig(options);
        rig.runUntil(length);
        const double days = static_cast<double>(length.count()) / 24.0 * options.servers;
        std::printf("healthy %-9s %5.0f/s %4ld h  %-12s false ejections %zu  a server and day %.4f  requests %llu\n",
                    ejectionPolicyName(policy), rate, static_cast<long>(length.count()), choice.name,
                    rig.ejections().size(), static_cast<double>(rig.ejections().size()) / days,
                    static_cast<unsigned long long>(rig.started));
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const bool full = argc > 1 && std::strcmp(argv[1], "full") == 0;
    for (const EjectionPolicy policy : {EjectionPolicy::Fast, EjectionPolicy::Careful}) {
        for (const double rate : {10.0, 300.0}) {
            compare(policy, rate);
        }
    }
    for (const EjectionPolicy policy : {EjectionPolicy::Fast, EjectionPolicy::Careful}) {
        healthy(policy, 10.0, std::chrono::hours(full ? 168 : 24));
        healthy(policy, 300.0, std::chrono::hours(full ? 24 : 1));
    }
    return 0;
}
