#include "src/ctl/Commands.h"

#include "include/base/Ids.h"
#include "include/base/JsonReader.h"
#include "include/intent/ClassIntent.h"
#include "src/ctl/BurnPage.h"
#include "src/ctl/FleetClient.h"
#include "src/fiber/FiberLoop.h"

#include <cctype>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

namespace waxwing {

namespace {

using nlohmann::json;

const std::string serviceObjects = "service";
constexpr Millis confirmInterval{50};
constexpr Millis resolveInterval{200};
constexpr int maxResolveAttempts = 10;

std::string newOperation()
{
    std::random_device device;
    return hexText((static_cast<std::uint64_t>(device()) << 32) | device());
}

/** Returns the operator's document without the operation id that this tool adds. */
json withoutOperationId(json value)
{
    if (value.is_object()) {
        value.erase("operation");
    }
    return value;
}

json findingsJson(const Findings &findings)
{
    json list = json::array();
    for (const Finding &finding : findings.all()) {
        list.push_back({{"place", finding.place}, {"message", finding.message}});
    }
    return list;
}

std::string nowText()
{
    const std::time_t now = std::time(nullptr);
    std::array<char, 64> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M UTC", std::gmtime(&now));
    return text.data();
}

} // namespace

Commands::Commands(boost::asio::io_context &ioContext, CtlOptions options)
    : ioContext_(ioContext)
    , options_(std::move(options))
    , client_(ioContext)
    , api_(client_, options_.objectApi)
{ }

CtlExit Commands::run()
{
    static const std::map<std::string, CtlExit (Commands::*)()> commands = {
        {"check", &Commands::check},   {"apply", &Commands::apply},   {"diff", &Commands::diff},
        {"get", &Commands::read},      {"status", &Commands::status}, {"explain", &Commands::explain},
        {"report", &Commands::report}, {"remove", &Commands::remove}};
    const auto command = options_.arguments.empty() ? commands.end() : commands.find(options_.arguments.front());
    if (command == commands.end()) {
        std::cerr << "unknown command" << (options_.arguments.empty() ? "" : " " + options_.arguments.front())
                  << "; see waxwingctl --help\n";
        return CtlExit::Usage;
    }
    return (this->*command->second)();
}

CtlExit Commands::unavailable(const Error &error)
{
    std::cerr << errorCodeName(error.code) << ": " << error.message << "\n";
    return CtlExit::Unavailable;
}

CtlExit Commands::loadFile(const std::string &path, IntentFile &file)
{
    std::ifstream stream(path);
    if (!stream) {
        std::cerr << path << ": can't be read\n";
        return CtlExit::Usage;
    }
    std::stringstream text;
    text << stream.rdbuf();
    Findings findings;
    file = parseIntentFile(text.str(), path, findings);
    if (findings.empty()) {
        return CtlExit::Ok;
    }
    if (options_.json) {
        std::cout << json{{"findings", findingsJson(findings)}}.dump(2) << "\n";
    } else {
        std::cerr << findings.text();
    }
    return CtlExit::Findings;
}

CtlExit Commands::check()
{
    if (options_.arguments.size() < 2) {
        std::cerr << "check FILE...: files of intents, or settings of a node\n";
        return CtlExit::Usage;
    }
    CtlExit worst = CtlExit::Ok;
    for (std::size_t i = 1; i < options_.arguments.size(); ++i) {
        const std::string &path = options_.arguments[i];
        std::ifstream stream(path);
        std::stringstream text;
        text << stream.rdbuf();
        Findings ignored;
        const json document = parseJsonWithComments(text.str(), path, ignored);
        const bool isSettings = document.is_object() && document.contains("node");
        CtlExit result = CtlExit::Ok;
        if (isSettings) {
            Findings findings;
            parseNodeSettings(text.str(), path, findings);
            for (const Finding &finding : findings.all()) {
                std::cerr << path << " " << finding.place << ": " << finding.message << "\n";
            }
            result = findings.empty() ? CtlExit::Ok : CtlExit::Findings;
        } else {
            IntentFile file;
            result = loadFile(path, file);
        }
        if (result != CtlExit::Ok) {
            worst = result;
        } else if (!options_.json) {
            std::cout << path << ": good\n";
        }
    }
    return worst;
}

Commands::ApplyResult Commands::resolveUnknownWrite(const std::string &service, const json &value, std::uint64_t base)
{
    // The write may have taken effect although its response was lost. The operation id shows whether it did. The write
    // is repeated only on condition of the same base version, so it can't be applied twice.
    const std::string operation = value.at("operation").get<std::string>();
    for (int tried = 0; tried < maxResolveAttempts; ++tried) {
        sleepFor(ioContext_, resolveInterval);
        const auto stored = api_.read(serviceObjects, service);
        if (!stored) {
            continue;
        }
        const json now = *stored ? json::parse((*stored)->value, nullptr, false) : json();
        const std::uint64_t version = *stored ? (*stored)->version : 0;
        if (now.is_object() && now.value("operation", "") == operation) {
            return ApplyResult{service, "accepted", version, "confirmed by its operation id"};
        }
        if (version != base) {
            return ApplyResult{service, "conflict", version,
                               "changed in the meantime:\n"
                                   + describeChange(withoutOperationId(value), withoutOperationId(now))};
        }
        const UpdateResult again = api_.update(serviceObjects, service, base, value.dump());
        if (again.kind == UpdateResult::Kind::Stored) {
            return ApplyResult{service, "accepted", again.version, ""};
        }
    }
    return ApplyResult{service, "unknown", 0, "the object API did not respond; run the same apply again"};
}

Commands::ApplyResult Commands::applyOne(const std::string &service, const IntentDocument &document)
{
    const auto stored = api_.read(serviceObjects, service);
    if (!stored) {
        return ApplyResult{service, "unavailable", 0, stored.error().message};
    }
    const std::uint64_t version = *stored ? (*stored)->version : 0;
    const json before = *stored ? withoutOperationId(json::parse((*stored)->value, nullptr, false)) : json();
    if (before == document.intents) {
        return ApplyResult{service, "unchanged", version, ""};
    }
    if (document.revision != 0 && document.revision != version) {
        return ApplyResult{service, "conflict", version,
                           "the file is based on revision " + std::to_string(document.revision) + ", revision "
                               + std::to_string(version) + " is stored; file -> stored:\n"
                               + describeChange(document.intents, before)};
    }
    json value = document.intents;
    value["operation"] = newOperation();
    const UpdateResult result = api_.update(serviceObjects, service, version, value.dump());
    switch (result.kind) {
    case UpdateResult::Kind::Stored:
        return ApplyResult{service, "accepted", result.version,
                           describeChange(before.is_null() ? json::object() : before, document.intents)};
    case UpdateResult::Kind::Conflict: {
        const json now =
            result.current ? withoutOperationId(json::parse(result.current->value, nullptr, false)) : json();
        return ApplyResult{service, "conflict", result.current ? result.current->version : 0,
                           "another operator changed it first; before -> stored:\n" + describeChange(before, now)};
    }
    case UpdateResult::Kind::NotStored:
        return ApplyResult{service, "unavailable", 0, result.message};
    case UpdateResult::Kind::Unknown:
        return resolveUnknownWrite(service, value, version);
    }
    return ApplyResult{service, "unknown", 0, ""};
}

CtlExit Commands::apply()
{
    if (options_.arguments.size() != 2) {
        std::cerr << "apply FILE\n";
        return CtlExit::Usage;
    }
    IntentFile file;
    const CtlExit loaded = loadFile(options_.arguments[1], file);
    if (loaded != CtlExit::Ok) {
        return loaded;
    }
    std::vector<ApplyResult> applied;
    CtlExit exit = CtlExit::Ok;
    json out = {{"services", json::array()}};
    for (const auto &[service, document] : file) {
        applied.push_back(applyOne(service, document));
        const ApplyResult &one = applied.back();
        out["services"].push_back(
            {{"service", one.service}, {"result", one.result}, {"revision", one.revision}, {"detail", one.detail}});
        if (!options_.json) {
            std::cout << one.service << ": " << one.result << " (revision " << one.revision << ")\n" << one.detail;
            std::cout << (one.detail.empty() || one.detail.back() == '\n' ? "" : "\n");
        }
        if (one.result == "conflict") {
            exit = CtlExit::Conflict;
        } else if (one.result == "unavailable" || one.result == "unknown") {
            exit = CtlExit::Unavailable;
        }
    }
    if (exit == CtlExit::Ok && options_.wait) {
        exit = waitForAll(applied, out);
    }
    if (options_.json) {
        std::cout << out.dump(2) << "\n";
    }
    return exit;
}

CtlExit Commands::waitForAll(const std::vector<ApplyResult> &applied, json &out)
{
    FleetClient fleet(client_, options_.node);
    const auto started = std::chrono::steady_clock::now();
    std::set<std::string> missing;
    while (true) {
        missing.clear();
        const auto members = fleet.members();
        if (!members) {
            return unavailable(members.error());
        }
        for (const FleetMember &member : *members) {
            if (member.state == "left") {
                continue;
            }
            const auto config = fleet.view(member.operators, "/v1/config");
            for (const ApplyResult &one : applied) {
                const json entry = config ? config->value(one.service, json::object()) : json::object();
                if (!config || entry.value("revision", std::uint64_t(0)) < one.revision) {
                    missing.insert(member.node + (member.state == "down" ? " (down)" : ""));
                }
            }
        }
        const auto took = millisOf(std::chrono::steady_clock::now() - started);
        if (missing.empty()) {
            out["inForceAfterMs"] = took.count();
            if (!options_.json) {
                std::cout << "in force everywhere after " << took.count() << " ms\n";
            }
            return CtlExit::Ok;
        }
        if (took >= options_.timeout) {
            break;
        }
        sleepFor(ioContext_, confirmInterval);
    }
    out["notConfirmed"] = missing;
    if (!options_.json) {
        std::cout << "accepted, but not confirmed by:";
        for (const std::string &node : missing) {
            std::cout << " " << node;
        }
        std::cout << "\n";
    }
    return CtlExit::NotConfirmed;
}

CtlExit Commands::diff()
{
    if (options_.arguments.size() != 2) {
        std::cerr << "diff FILE\n";
        return CtlExit::Usage;
    }
    IntentFile file;
    const CtlExit loaded = loadFile(options_.arguments[1], file);
    if (loaded != CtlExit::Ok) {
        return loaded;
    }
    for (const auto &[service, document] : file) {
        const auto stored = api_.read(serviceObjects, service);
        if (!stored) {
            return unavailable(stored.error());
        }
        const json before =
            *stored ? withoutOperationId(json::parse((*stored)->value, nullptr, false)) : json::object();
        std::cout << service << ":\n" << describeChange(before, document.intents);
    }
    return CtlExit::Ok;
}

CtlExit Commands::read()
{
    const auto all = api_.list(serviceObjects);
    if (!all) {
        return unavailable(all.error());
    }
    json services = json::object();
    for (const StoredObject &object : all->objects) {
        if (options_.arguments.size() > 1 && options_.arguments[1] != object.name) {
            continue;
        }
        json value = withoutOperationId(json::parse(object.value, nullptr, false));
        if (value.is_object()) {
            value["revision"] = object.version;
        }
        services[object.name] = std::move(value);
    }
    std::cout << json{{"services", services}}.dump(2) << "\n";
    return CtlExit::Ok;
}

CtlExit Commands::remove()
{
    if (options_.arguments.size() != 2) {
        std::cerr << "remove SERVICE\n";
        return CtlExit::Usage;
    }
    const auto stored = api_.read(serviceObjects, options_.arguments[1]);
    if (!stored) {
        return unavailable(stored.error());
    }
    if (!*stored) {
        std::cerr << "no service " << options_.arguments[1] << "\n";
        return CtlExit::Conflict;
    }
    const UpdateResult result = api_.remove(serviceObjects, options_.arguments[1], (*stored)->version);
    if (result.kind == UpdateResult::Kind::Stored) {
        std::cout << options_.arguments[1] << ": removed (revision " << result.version << ")\n";
        return CtlExit::Ok;
    }
    std::cerr << options_.arguments[1] << ": not removed: " << result.message << "\n";
    return result.kind == UpdateResult::Kind::Conflict ? CtlExit::Conflict : CtlExit::Unavailable;
}

CtlExit Commands::status()
{
    FleetClient fleet(client_, options_.node);
    const auto views = fleet.viewAll("/v1/status");
    if (!views) {
        return unavailable(views.error());
    }
    if (options_.json) {
        std::cout << json(*views).dump(2) << "\n";
        return CtlExit::Ok;
    }
    for (const auto &[node, view] : *views) {
        std::cout << node << " zone " << view.value("zone", "") << ", " << view.value("configurations", 0)
                  << " configurations, " << view.value("requestsRunning", 0) << " requests running, "
                  << view.value("claims", 0) << " claims, " << view.value("residentBytes", 0ULL) / 1048576 << " MB\n";
        for (const auto &service : view.at("homeOf").items()) {
            const json &home = service.value();
            std::cout << "  " << service.key() << ": " << home.value("inService", 0) << " in service, must keep "
                      << home.value("mustKeep", 0) << ", " << home.value("queued", 0) << " queued\n";
            for (const json &server : home.at("servers")) {
                std::cout << "    " << server.value("server", "") << " " << server.value("state", "") << " "
                          << server.value("phase", "") << (server.value("present", false) ? "" : " (silent)")
                          << (server.value("keptForFloor", false) ? " kept for the floor" : "") << ", "
                          << server.value("inFlight", 0) << "/" << server.value("slots", 0) << " slots\n";
            }
        }
    }
    return CtlExit::Ok;
}

CtlExit Commands::explain()
{
    if (options_.arguments.size() != 2) {
        std::cerr << "explain SUBJECT: a server, node, service, key or reason\n";
        return CtlExit::Usage;
    }
    FleetClient fleet(client_, options_.node);
    const auto views = fleet.viewAll("/v1/explain?subject=" + options_.arguments[1]);
    if (!views) {
        return unavailable(views.error());
    }
    if (options_.json) {
        std::cout << json(*views).dump(2) << "\n";
        return CtlExit::Ok;
    }
    std::multimap<std::int64_t, std::string> lines;
    for (const auto &[node, view] : *views) {
        for (const json &event : view.at("events")) {
            std::string line = node + " " + event.value("event", "");
            for (const auto &field : event.at("fields").items()) {
                line += " " + field.key() + "=" + field.value().get<std::string>();
            }
            lines.emplace(event.value("at", std::int64_t(0)), line);
        }
    }
    if (lines.empty()) {
        std::cout << "no event mentions " << options_.arguments[1] << "\n";
    }
    for (const auto &[at, line] : lines) {
        std::cout << at << " " << line << "\n";
    }
    return CtlExit::Ok;
}

CtlExit Commands::report()
{
    if (options_.arguments.size() != 2 || options_.arguments[1] != "burn") {
        std::cerr << "report burn [--html FILE]\n";
        return CtlExit::Usage;
    }
    FleetClient fleet(client_, options_.node);
    const auto views = fleet.viewAll("/v1/burn");
    if (!views) {
        return unavailable(views.error());
    }
    std::map<std::string, std::map<std::int64_t, BurnCounts>> merged;
    for (const auto &[node, view] : *views) {
        for (const auto &item : view.items()) {
            for (const json &row : item.value()) {
                const auto number = [&](std::size_t i) { return row.at(i).get<std::uint32_t>(); };
                const BurnCounts counts{number(1), number(2), number(3), number(4), number(5)};
                merged[item.key()][row.at(0).get<std::int64_t>()].add(counts);
            }
        }
    }
    const auto intents = api_.list(serviceObjects);
    std::map<std::string, double> targets;
    for (const StoredObject &object : intents ? intents->objects : std::vector<StoredObject>()) {
        Findings ignored;
        const ServiceIntent intent =
            parseServiceIntent(object.name, json::parse(object.value, nullptr, false), ignored);
        for (const ClassIntent &one : intent.classes) {
            targets[object.name + "/" + one.name] = one.successRate;
        }
    }
    std::vector<ClassBurn> classes;
    for (const auto &[name, slices] : merged) {
        ClassBurn one;
        one.name = name;
        one.successRate = targets.count(name) != 0 ? targets[name] : one.successRate;
        for (const auto &[ms, counts] : slices) {
            one.slices.push_back(BurnSlice{WallTime(Millis(ms)), counts});
        }
        one.rates = burnRates(one.slices, one.successRate, std::chrono::system_clock::now());
        classes.push_back(std::move(one));
    }
    if (!options_.html.empty()) {
        std::ofstream(options_.html) << burnHtml(classes, nowText());
        std::cout << "written to " << options_.html << "\n";
    } else {
        std::cout << (options_.json ? burnJson(classes) : burnText(classes));
    }
    return CtlExit::Ok;
}

} // namespace waxwing
