#include "include/base/EventLog.h"
#include "include/node/Node.h"
#include "src/base/CrashLog.h"
#include "src/fiber/FiberLoop.h"
#include "src/sidecar/SidecarNode.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace waxwing;

constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitListen = 4;
constexpr int exitUncleanStop = 5;

/** What the command line states. */
struct Arguments {
    std::string path;
    /** Goes before the settings file, because a platform may know it only where it starts the process. */
    std::optional<std::uint32_t> memoryMegabytes;
};

std::optional<NodeSettings> readSettings(const Arguments &arguments)
{
    const std::string &path = arguments.path;
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    Findings findings;
    NodeSettings settings = parseNodeSettings(text.str(), path, findings);
    if (!findings.empty()) {
        for (const Finding &finding : findings.all()) {
            const bool hasFile = finding.place.compare(0, path.size(), path) == 0;
            std::cerr << (hasFile ? "" : path + " ") << finding.place << ": " << finding.message << "\n";
        }
        return std::nullopt;
    }
    settings.limits.memoryMegabytes = arguments.memoryMegabytes.value_or(settings.limits.memoryMegabytes);
    return settings;
}

/**
 * Returns the arguments without options that have an empty value. A platform fills in nothing for a limit that it does
 * not have, and Program_options takes that for an error.
 */
std::vector<std::string> statedArguments(int argc, char **argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    arguments.erase(
        std::remove_if(arguments.begin(), arguments.end(),
                       [](const std::string &argument) { return !argument.empty() && argument.back() == '='; }),
        arguments.end());
    return arguments;
}

/** Reads the value of --memory-megabytes. Returns false if it is not a memory size that a process can work with. */
bool readMemory(const std::string &text, Arguments &arguments)
{
    std::uint32_t megabytes = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), megabytes);
    arguments.memoryMegabytes = megabytes;
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size()
           && megabytes >= NodeLimits::minMemoryMegabytes;
}

/**
 * Returns the wall time in microseconds, which grows with each start. A counter would need state that a VM doesn't keep
 * across starts.
 */
std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/** Poll interval of the settings file, which may change without a signal. */
constexpr Millis settingsPollInterval{1000};
/** Interval of log flushes; a killed process loses at most the log lines of one interval. */
constexpr Millis logFlushInterval{200};

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Reloads the settings file when its content changes, with or without a signal. Ignores invalid settings. */
template<typename AnyNode>
class SettingsWatch
{
public:
    SettingsWatch(boost::asio::io_context &ioContext, AnyNode &node, Arguments arguments)
        : ioContext_(ioContext)
        , node_(node)
        , arguments_(std::move(arguments))
        , lastContent_(readFile(arguments_.path))
    { }

    void poll()
    {
        while (true) {
            sleepFor(ioContext_, settingsPollInterval);
            reloadIfChanged();
        }
    }

    void reloadIfChanged()
    {
        std::string content = readFile(arguments_.path);
        if (content == lastContent_) {
            return;
        }
        lastContent_ = std::move(content);
        if (const std::optional<NodeSettings> changed = readSettings(arguments_)) {
            node_.reload(*changed);
        }
    }

private:
    boost::asio::io_context &ioContext_;
    AnyNode &node_;
    Arguments arguments_;
    std::string lastContent_;
};

template<typename AnyNode>
[[noreturn]] void runNode(const Arguments &arguments, const NodeSettings &settings)
{
    boost::asio::io_context ioContext(1);
    installFiberScheduler(ioContext);
    const SystemClock clock;
    auto node = AnyNode::MakeStarted(ioContext, clock, settings, newIncarnation());
    if (!node) {
        std::cerr << node.error().message << "\n";
        flushLogging();
        endProcess(exitListen);
    }
    spawnFiber([&node, &ioContext] {
        while (true) {
            sleepFor(ioContext, logFlushInterval);
            (*node)->flushLog();
        }
    });
    SettingsWatch<AnyNode> watch(ioContext, **node, arguments);
    spawnFiber([&watch] { watch.poll(); });
    boost::asio::signal_set signals(ioContext, SIGTERM, SIGINT, SIGHUP);
    while (true) {
        int signal = 0;
        await([&](auto handle) {
            signals.async_wait([&signal, handle](boost::system::error_code error, int number) mutable {
                signal = number;
                handle(error);
            });
        });
        if (signal != SIGHUP) {
            break;
        }
        watch.reloadIfChanged();
    }
    const bool clean = (*node)->stop();
    flushLogging();
    endProcess(clean ? 0 : exitUncleanStop);
}

} // namespace

int main(int argc, char **argv)
{
    installCrashLog();
    namespace po = boost::program_options;
    po::options_description options("waxwingd: one node of the fleet\n"
                                    "exit: 0 stopped cleanly, 2 usage, 3 settings, 4 can't listen, 5 requests were "
                                    "still running at the end of the stop");
    // clang-format off
    options.add_options()
        ("help,h", "print this")
        ("settings,s", po::value<std::string>(), "settings file (JSON with comments)")
        ("memory-megabytes", po::value<std::string>(), "memory of the process, in place of limits.memoryMegabytes")
        ("check", "only check the settings");
    // clang-format on
    po::variables_map values;
    try {
        po::store(po::command_line_parser(statedArguments(argc, argv)).options(options).run(), values);
    } catch (const po::error &error) {
        std::cerr << error.what() << "\n" << options;
        return exitUsage;
    }
    if (values.count("help") != 0) {
        std::cout << options;
        return 0;
    }
    if (values.count("settings") == 0) {
        std::cerr << options;
        return exitUsage;
    }
    Arguments arguments;
    arguments.path = values["settings"].as<std::string>();
    if (values.count("memory-megabytes") != 0 && !readMemory(values["memory-megabytes"].as<std::string>(), arguments)) {
        std::cerr << "--memory-megabytes: must be a whole number of at least " << NodeLimits::minMemoryMegabytes
                  << "\n";
        return exitUsage;
    }
    const std::optional<NodeSettings> settings = readSettings(arguments);
    if (!settings) {
        return exitSettings;
    }
    if (values.count("check") != 0) {
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    setUpLogging();
    if (settings->server) {
        runNode<SidecarNode>(arguments, *settings);
    }
    runNode<Node>(arguments, *settings);
}
