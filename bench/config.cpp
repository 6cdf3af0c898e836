/**
 * Measures the processor time of each step from the store's response with a new configuration to the moment at which
 * it is in force, and of forwarding it to one other node: bench-config. Best of several runs.
 */
#include "include/wire/Messages.h"
#include "platform/ConfigDecoder.h"
#include "platform/Names.h"
#include "platform/ObjectParser.h"
#include "src/link/MessageDeflate.h"
#include "tests/support/ReferenceConfigDecoder.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <string>

namespace {

using namespace waxwing;
using nlohmann::json;
using ProcessorMillis = std::chrono::duration<double, std::milli>;

constexpr int runs = 9;
constexpr int customers = 510;
constexpr int routesPerHost = 100;
constexpr std::size_t maxMessageBytes = 8UL * 1024 * 1024;

ProcessorMillis processorTime()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

/** Returns the least processor time of @p step. @p prepare: runs before each step and is not measured. */
ProcessorMillis leastTime(
    const std::function<void()> &step, const std::function<void()> &prepare = [] {})
{
    ProcessorMillis least = std::chrono::hours(1);
    for (int run = 0; run < runs; ++run) {
        prepare();
        const ProcessorMillis before = processorTime();
        step();
        least = std::min(least, processorTime() - before);
    }
    return least;
}

json ruleOf(int number)
{
    const std::string name = "route-" + std::to_string(number);
    json action = {{"timeout_ms", 4000 + number % 7}, {"max_attempts", 2}};
    if (number % 10 == 0) {
        action["weighted_services"] =
            json::array({{{"service", "drafting"}, {"weight", 90}}, {{"service", "drafting-next"}, {"weight", 10}}});
    } else {
        action["service"] = number % 2 == 0 ? "drafting" : "catalog";
    }
    return {{"name", name},
            {"kind", number % 3 == 0 ? platform::names::nonRetryableKind : platform::names::retryableKind},
            {"target_latency_ms", 2500},
            {"priority", number % 3},
            {"public", false},
            {"match", {{"path_prefix", "/" + name + "/items/"}}},
            {"action", action}};
}

json customerOf(int number)
{
    const std::string name = "customer-" + std::to_string(number);
    return {{"name", name},
            {"priority", number % 4},
            {"rate_per_s", 20.5},
            {"burst", 40},
            {"api_keys", {"key-of-" + name + "-first", "key-of-" + name + "-second"}}};
}

json documentWith(int routes)
{
    json listeners = json::array();
    for (int first = 0; first < routes; first += routesPerHost) {
        json rules = json::array();
        for (int i = first; i < std::min(routes, first + routesPerHost); ++i) {
            rules.push_back(ruleOf(i));
        }
        listeners.push_back({{"host", "host-" + std::to_string(first) + ".example"}, {"rules", std::move(rules)}});
    }
    json tenants = json::array();
    for (int i = 0; i < customers; ++i) {
        tenants.push_back(customerOf(i));
    }
    return {{"version", "r12"}, {"listeners", listeners}, {"tenants", tenants}, {"clusters", json::array()}};
}

std::string storeResponse(const json &document)
{
    const json object = {{"metadata", {{"name", platform::names::configName}, {"rev", 12}}}, {"spec", document}};
    const json event = {{"object", object}, {"deleted", false}};
    return json{{"events", json::array({event})}, {"as_of", 12}}.dump();
}

json specOf(const json &response)
{
    return response.at("events").at(0).at("object").at("spec");
}

/** Prints the steps of reading and decoding. @p way: how. */
void measureActivation(int routes, const char *way, const std::function<std::string(const std::string &)> &read,
                       const std::function<FleetConfig(const std::string &, Findings &)> &decodeText)
{
    const std::string response = storeResponse(documentWith(routes));
    std::string document;
    const ProcessorMillis readTime = leastTime([&] { document = read(response); });
    std::shared_ptr<const FleetConfig> config;
    const auto decode = [&] {
        Findings findings;
        config = std::make_shared<const FleetConfig>(decodeText(document, findings));
    };
    const ProcessorMillis decodeTime = leastTime(decode, [&] { config.reset(); });
    const ProcessorMillis releaseTime = leastTime([&] { config.reset(); }, decode);
    const ProcessorMillis sum = readTime + decodeTime + releaseTime;
    std::printf("| %d | %zu | %s | %.1f | %.1f | %.1f | %.1f |\n", routes, document.size() / 1024, way,
                readTime.count(), decodeTime.count(), releaseTime.count(), sum.count());
}

void measureForwarding(int routes)
{
    StateUpdate update;
    update.config = documentWith(routes).dump();
    MessageDeflater deflater;
    MessageInflater inflater;
    std::string frame;
    const auto encode = [&] { frame = deflater.deflate(encodeMessage(update)); };
    const ProcessorMillis forwardTime = leastTime(encode);
    // A stream is read in the order in which it was written.
    MessageDeflater sender;
    const ProcessorMillis receiveTime = leastTime([&] { decodeMessage(*inflater.inflate(frame, maxMessageBytes)); },
                                                  [&] { frame = sender.deflate(encodeMessage(update)); });
    std::printf("| %d | %.1f | %.1f | %zu |\n", routes, forwardTime.count(), receiveTime.count(), frame.size() / 1024);
}

} // namespace

int main()
{
    std::puts("Milliseconds of processor time.");
    std::puts("| routes | KB | parser | read response | decode | release previous | in all |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- |");
    for (const int routes : {1000, 2000, 5000}) {
        measureActivation(
            routes, "whole trees", [](const std::string &response) { return specOf(json::parse(response)).dump(); },
            testing::decodeConfigFromTree);
        measureActivation(
            routes, "events",
            [](const std::string &response) { return platform::parseObjectPage(response)->objects.front().value; },
            platform::decodeConfig);
    }
    std::puts("| routes | forward to one node | receive from a node | KB on the link |");
    std::puts("| --- | --- | --- | --- |");
    for (const int routes : {1000, 2000, 5000}) {
        measureForwarding(routes);
    }
}
