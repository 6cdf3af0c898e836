/**
 * Runs the main scenario on loopback: three nodes in different zones, six backend servers of two services, and reads
 * and writes to both services. Meanwhile, one server is killed and one is suspended. Prints the outcomes and the events
 * that explain them. Exits with 1 if a guarantee was violated.
 */
#include "src/fiber/FiberLoop.h"
#include "tests/support/Fleet.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

namespace {

using namespace waxwing;
using namespace waxwing::testing;

constexpr int clients = 12;
constexpr Millis servingTime{8000};

struct Results {
    std::map<std::string, std::map<std::string, int>> outcomes;
    std::map<std::string, std::string> booked;
    int wrongResponses = 0;
    int number = 0;
    bool stop = false;
};

void readOnce(Fleet &fleet, Results &results, int node, const std::string &service)
{
    const std::string id = "read-" + std::to_string(++results.number);
    const CallResult result =
        fleet.send(node, HttpRequest{"GET", "/sessions/" + id, {{"Host", service}, {"X-Request-Id", id}}, {}});
    ++results.outcomes[service + " reads"][result.outcome.empty() ? "no response" : result.outcome];
    const bool complete = result.status != 200 || result.body.find("\"" + id + "\"") != std::string::npos;
    results.wrongResponses += complete ? 0 : 1;
}

/** Sends a write with a ticket up to three times, each time through another node, until it has run. */
void writeOnce(Fleet &fleet, Results &results, int node, const std::string &service)
{
    const std::string id = "write-" + std::to_string(++results.number);
    const std::string ticket = fleet.ticket(node);
    std::string outcome;
    for (int attempt = 0; attempt < 3 && outcome != "ran"; ++attempt) {
        const HttpRequest request{
            "POST", "/bookings", {{"Host", service}, {"X-Request-Id", id}, {"Idempotency-Key", ticket}}, "one"};
        outcome = fleet.send((node + attempt) % fleet.options().nodes, request).outcome;
        if (outcome != "ran") {
            pause(Millis(100));
        }
    }
    ++results.outcomes[service + " writes"][outcome.empty() ? "no response" : outcome];
    results.booked[id] = outcome;
}

int countViolations(Fleet &fleet, const Results &results)
{
    int violations = results.wrongResponses;
    const std::map<std::string, int> executions = fleet.executions();
    for (const auto &[id, outcome] : results.booked) {
        const auto found = executions.find(id);
        const int count = found == executions.end() ? 0 : found->second;
        const bool wrong = count > 1 || (outcome == "not-run" && count > 0) || (outcome == "ran" && count != 1);
        if (wrong) {
            std::printf("VIOLATION: %s was reported %s and ran %d times\n", id.c_str(), outcome.c_str(), count);
            ++violations;
        }
    }
    return violations;
}

int runDemo()
{
    FleetOptions options;
    options.services = {"course-desk", "voucher-ledger"};
    options.floor = "2 servers";
    options.workMs = 20;
    Fleet fleet(options);
    std::printf("three nodes and six servers are up; serving for %lld s\n",
                static_cast<long long>(servingTime.count() / 1000));
    Results results;
    std::vector<std::function<void()>> tasks;
    tasks.reserve(clients + 1);
    for (int client = 0; client < clients; ++client) {
        tasks.emplace_back([&, client] {
            const std::string &service = fleet.options().services[static_cast<std::size_t>(client % 2)];
            while (!results.stop) {
                if (client % 3 == 0) {
                    writeOnce(fleet, results, client % 3, service);
                } else {
                    readOnce(fleet, results, client % 3, service);
                }
                pause(Millis(15));
            }
        });
    }
    tasks.emplace_back([&] {
        pause(servingTime / 4);
        std::printf("killing server s0 of course-desk\n");
        fleet.server("s0").kill();
        pause(servingTime / 4);
        std::printf("suspending server s4 of voucher-ledger\n");
        fleet.server("s4").signal(SIGSTOP);
        pause(servingTime / 2);
        results.stop = true;
    });
    runConcurrently(tasks);
    fleet.server("s4").signal(SIGCONT);
    for (const auto &[kind, outcomes] : results.outcomes) {
        std::printf("%-22s", kind.c_str());
        for (const auto &[outcome, count] : outcomes) {
            std::printf("  %s %d", outcome.c_str(), count);
        }
        std::printf("\n");
    }
    std::string output;
    for (const char *subject : {"s0", "s4"}) {
        fleet.ctl({"explain", subject}, &output);
        std::printf("events of %s:\n%s", subject, output.c_str());
    }
    fleet.ctl({"report", "burn"}, &output);
    std::printf("%s", output.c_str());
    int violations = countViolations(fleet, results);
    for (int node = 0; node < fleet.options().nodes; ++node) {
        fleet.node(node).signal(SIGTERM);
        const int code = fleet.node(node).waitForExit();
        std::printf("node n%d stopped with %d\n", node, code);
        violations += code == 0 ? 0 : 1;
    }
    std::printf(violations == 0 ? "every guarantee held\n" : "%d guarantees violated\n", violations);
    return violations == 0 ? 0 : 1;
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    setUpLoop();
    int code = 1;
    try {
        code = runDemo();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    endProcess(code);
}
