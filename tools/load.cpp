/**
 * Open-loop load generator: Poisson arrivals at a fixed rate, independent of the responses. Sends the same requests
 * directly to servers and then through the fleet, and prints both results and the latency that the fleet adds.
 */
#include "include/base/Clock.h"
#include "include/base/Findings.h"
#include "src/fiber/FiberLoop.h"
#include "src/http/HttpClient.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <random>
#include <vector>

namespace {

using namespace waxwing;
namespace po = boost::program_options;
using Steady = std::chrono::steady_clock;

struct Options {
    std::vector<Endpoint> fleet;
    std::vector<Endpoint> direct;
    std::vector<Endpoint> operators;
    std::string service;
    std::string path;
    std::string writePath;
    double writeShare = 0.0;
    double rate = 100.0;
    std::chrono::seconds length{10};
    std::size_t maxOpen = 1000;
    std::uint64_t seed = 1;
    std::size_t bodyBytes = 200;
    bool ticket = false;
    Millis timeout{5000};
};

/** Results of one run. */
struct Result {
    std::vector<double> latenciesMs;
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t notStarted = 0;
    double seconds = 0.0;

    double quantile(double q)
    {
        if (latenciesMs.empty()) {
            return 0.0;
        }
        std::sort(latenciesMs.begin(), latenciesMs.end());
        const auto at = static_cast<std::size_t>(q * static_cast<double>(latenciesMs.size() - 1));
        return latenciesMs[at];
    }
};

class Load
{
public:
    Load(boost::asio::io_context &ioContext, const Options &options)
        : ioContext_(ioContext)
        , options_(options)
        , client_(ioContext)
    { }

    Result run(const std::vector<Endpoint> &targets, bool throughFleet)
    {
        std::mt19937_64 random(options_.seed);
        std::exponential_distribution<double> interarrival(options_.rate);
        std::uniform_real_distribution<double> share(0.0, 1.0);
        Result result;
        const auto start = Steady::now();
        auto next = start;
        std::uint64_t number = 0;
        while (next - start < options_.length) {
            if (next > Steady::now()) {
                sleepFor(ioContext_, next - Steady::now());
            }
            const bool write = share(random) < options_.writeShare;
            const Endpoint &target = targets[number % targets.size()];
            if (open_ >= options_.maxOpen) {
                ++result.notStarted;
            } else {
                ++open_;
                spawnFiber([this, &result, target, write, throughFleet, due = next, id = ++number] {
                    sendOne(result, target, write, throughFleet, due, id);
                });
            }
            next += std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(interarrival(random)));
        }
        while (open_ > 0) {
            sleepFor(ioContext_, Millis(5));
        }
        result.seconds = std::chrono::duration<double>(Steady::now() - start).count();
        return result;
    }

    nlohmann::json status(const Endpoint &operators)
    {
        const auto response = client_.exchange(operators, HttpRequest{"GET", "/v1/status", {}, {}}, options_.timeout);
        return response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
    }

private:
    void sendOne(Result &result, const Endpoint &target, bool write, bool throughFleet, Steady::time_point due,
                 std::uint64_t id)
    {
        HttpRequest request;
        request.method = write ? "POST" : "GET";
        request.target = write ? options_.writePath : options_.path + "/" + std::to_string(id);
        request.headers = {{"Host", options_.service}, {"X-Request-Id", std::to_string(id)}};
        request.body = write ? std::string(options_.bodyBytes, 'b') : std::string();
        if (write && throughFleet && options_.ticket) {
            const auto ticket =
                client_.exchange(target, HttpRequest{"POST", "/.waxwing/ticket", {}, {}}, options_.timeout);
            const auto body = ticket ? nlohmann::json::parse(ticket->body, nullptr, false) : nlohmann::json();
            if (body.is_object()) {
                request.headers.emplace_back("Idempotency-Key", body.value("ticket", ""));
            }
        }
        const auto response = client_.exchange(target, request, options_.timeout);
        const double ms = std::chrono::duration<double, std::milli>(Steady::now() - due).count();
        std::string outcome = "no-answer";
        if (response) {
            const std::string outcomeHeader(headerValue(response->headers, "Waxwing-Outcome"));
            outcome = outcomeHeader.empty() ? "status-" + std::to_string(response->status) : outcomeHeader;
            const bool wrong =
                response->status == 200 && headerValue(response->headers, "X-Request-Id") != std::to_string(id);
            outcome = wrong ? "WRONG-ANSWER" : outcome;
        }
        ++result.outcomes[outcome];
        result.latenciesMs.push_back(ms);
        --open_;
    }

    boost::asio::io_context &ioContext_;
    const Options &options_;
    HttpClient client_;
    std::size_t open_ = 0;
};

std::vector<Endpoint> endpoints(const std::string &text, const std::string &place, Findings &findings)
{
    std::vector<std::string> parts;
    std::vector<Endpoint> out;
    if (!text.empty()) {
        boost::algorithm::split(parts, text, boost::algorithm::is_any_of(","));
    }
    for (const std::string &part : parts) {
        out.push_back(parseEndpoint(part, place, findings));
        if (out.back().address.compare(0, 4, "127.") != 0) {
            findings.add(place, "this tool only sends to 127.0.0.0/8");
        }
    }
    return out;
}

nlohmann::json print(const char *name, Result &result)
{
    const double rate = static_cast<double>(result.latenciesMs.size()) / result.seconds;
    std::printf("%-7s %8zu requests %9.1f/s  p50 %7.3f  p90 %7.3f  p99 %7.3f  p99.9 %7.3f ms  not started %llu ", name,
                result.latenciesMs.size(), rate, result.quantile(0.5), result.quantile(0.9), result.quantile(0.99),
                result.quantile(0.999), static_cast<unsigned long long>(result.notStarted));
    for (const auto &[outcome, count] : result.outcomes) {
        std::printf(" %s=%llu", outcome.c_str(), static_cast<unsigned long long>(count));
    }
    std::printf("\n");
    return {{"requests", result.latenciesMs.size()}, {"rate", rate},
            {"p50", result.quantile(0.5)},           {"p90", result.quantile(0.9)},
            {"p99", result.quantile(0.99)},          {"p999", result.quantile(0.999)},
            {"outcomes", result.outcomes},           {"notStarted", result.notStarted}};
}

int runAll(boost::asio::io_context &ioContext, const Options &options, bool asJson)
{
    Load load(ioContext, options);
    nlohmann::json out;
    Result direct;
    if (!options.direct.empty()) {
        direct = load.run(options.direct, false);
        out["direct"] = print("direct", direct);
    }
    std::vector<nlohmann::json> before;
    for (const Endpoint &node : options.operators) {
        before.push_back(load.status(node));
    }
    Result fleet = load.run(options.fleet, true);
    out["fleet"] = print("fleet", fleet);
    if (!options.direct.empty()) {
        std::printf("added   p50 %.3f ms  p90 %.3f ms  p99 %.3f ms\n", fleet.quantile(0.5) - direct.quantile(0.5),
                    fleet.quantile(0.9) - direct.quantile(0.9), fleet.quantile(0.99) - direct.quantile(0.99));
        out["addedP99"] = fleet.quantile(0.99) - direct.quantile(0.99);
    }
    for (std::size_t i = 0; i < options.operators.size(); ++i) {
        const nlohmann::json after = load.status(options.operators[i]);
        if (!after.is_object() || !before[i].is_object()) {
            continue;
        }
        const double cores =
            (after.value("processorSeconds", 0.0) - before[i].value("processorSeconds", 0.0)) / fleet.seconds;
        std::printf("node %-8s %.3f cores  %.1f MB resident\n", after.value("node", "").c_str(), cores,
                    after.value("residentBytes", 0.0) / 1e6);
        out["nodes"].push_back({{"node", after.value("node", "")},
                                {"cores", cores},
                                {"residentBytes", after.value("residentBytes", 0.0)}});
    }
    if (asJson) {
        std::printf("%s\n", out.dump().c_str());
    }
    const bool wrong = fleet.outcomes.count("WRONG-ANSWER") != 0;
    std::fflush(stdout);
    return wrong ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    po::options_description options("open-loop load, directly to servers and through the fleet");
    // clang-format off
    options.add_options()
        ("help", "print this")
        ("fleet", po::value<std::string>()->required(), "caller endpoints of nodes, separated by commas")
        ("direct", po::value<std::string>()->default_value(""), "endpoints of backend servers")
        ("operators", po::value<std::string>()->default_value(""), "operator endpoints, for processor time and memory")
        ("service", po::value<std::string>()->required(), "service name")
        ("path", po::value<std::string>()->default_value("/sessions"), "path of reads")
        ("write-path", po::value<std::string>()->default_value("/bookings"), "path of writes")
        ("write-share", po::value<double>()->default_value(0.0), "share of writes")
        ("ticket", "request a ticket for each write")
        ("rate", po::value<double>()->default_value(100.0), "arrivals per second")
        ("seconds", po::value<int>()->default_value(10), "length of each run")
        ("open", po::value<std::size_t>()->default_value(1000), "maximum number of open requests")
        ("allowed-ms", po::value<int>()->default_value(5000), "timeout of a request")
        ("body-bytes", po::value<std::size_t>()->default_value(200), "bytes in a write")
        ("seed", po::value<std::uint64_t>()->default_value(1), "seed of arrivals and mix")
        ("json", "print one JSON line at the end");
    // clang-format on
    po::variables_map values;
    Options parsed;
    Findings findings;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") != 0) {
            std::cout << options;
            return 0;
        }
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << error.what() << "\n" << options;
        return 2;
    }
    parsed.fleet = endpoints(values["fleet"].as<std::string>(), "--fleet", findings);
    parsed.direct = endpoints(values["direct"].as<std::string>(), "--direct", findings);
    parsed.operators = endpoints(values["operators"].as<std::string>(), "--operators", findings);
    if (!findings.empty() || parsed.fleet.empty()) {
        std::cerr << findings.text();
        return 2;
    }
    parsed.service = values["service"].as<std::string>();
    parsed.path = values["path"].as<std::string>();
    parsed.writePath = values["write-path"].as<std::string>();
    parsed.writeShare = values["write-share"].as<double>();
    parsed.ticket = values.count("ticket") != 0;
    parsed.rate = values["rate"].as<double>();
    parsed.length = std::chrono::seconds(values["seconds"].as<int>());
    parsed.maxOpen = values["open"].as<std::size_t>();
    parsed.timeout = Millis(values["allowed-ms"].as<int>());
    parsed.bodyBytes = values["body-bytes"].as<std::size_t>();
    parsed.seed = values["seed"].as<std::uint64_t>();
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context ioContext(1);
    installFiberScheduler(ioContext);
    endProcess(runAll(ioContext, parsed, values.count("json") != 0));
}
