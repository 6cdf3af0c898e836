#include "src/ctl/Commands.h"
#include "src/fiber/FiberLoop.h"

#include "include/base/DurationText.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace waxwing;
namespace po = boost::program_options;

constexpr const char *usage = R"(waxwingctl COMMAND [options]
  check FILE...        check files of intents, or settings of a node; needs no fleet
  apply FILE           write the intents of FILE; --wait until they are in force everywhere
  diff FILE            what apply would change
  get [SERVICE]        the stored intents, with their revisions
  remove SERVICE       remove a service's intents
  status               nodes, homes and servers
  explain SUBJECT      events about a server, node, service, key or reason
  report burn          service-level burn; --json, or --html FILE for a page with plots
exit: 0 done, 2 usage, 3 findings, 4 conflict, 5 object API or node not reached, 6 not confirmed everywhere
)";

} // namespace

int main(int argc, char **argv)
{
    po::options_description options("options");
    // clang-format off
    options.add_options()
        ("help,h", "print this")
        ("json", "print JSON")
        ("wait", "with apply: wait until the version is in force everywhere")
        ("timeout", po::value<std::string>()->default_value("10s"), "with --wait: maximum time to wait")
        ("html", po::value<std::string>()->default_value(""), "with report burn: write a page to this file")
        ("api", po::value<std::string>()->default_value("127.0.0.1:7000"), "object API, or WAXWING_API")
        ("node", po::value<std::string>()->default_value("127.0.0.1:7102"), "operator endpoint of any node, or WAXWING_NODE")
        ("words", po::value<std::vector<std::string>>(), "command and arguments");
    // clang-format on
    po::positional_options_description positional;
    positional.add("words", -1);
    po::variables_map values;
    CtlOptions parsed;
    Findings findings;
    try {
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), values);
        const auto fromEnvironment = [&](const char *option, const char *variable) {
            const char *value = std::getenv(variable);
            return values[option].defaulted() && value != nullptr ? std::string(value)
                                                                  : values[option].as<std::string>();
        };
        parsed.objectApi = parseEndpoint(fromEnvironment("api", "WAXWING_API"), "--api", findings);
        parsed.node = parseEndpoint(fromEnvironment("node", "WAXWING_NODE"), "--node", findings);
        const Expected<Millis> timeout = parseDuration(values["timeout"].as<std::string>());
        if (!timeout) {
            findings.add("--timeout", timeout.error().message);
        }
        parsed.timeout = timeout.value_or(parsed.timeout);
    } catch (const po::error &error) {
        findings.add("command line", error.what());
    }
    if (!findings.empty()) {
        std::cerr << findings.text();
        return static_cast<int>(CtlExit::Usage);
    }
    if (values.count("help") != 0 || values.count("words") == 0) {
        std::cout << usage << options;
        return values.count("help") != 0 ? 0 : static_cast<int>(CtlExit::Usage);
    }
    parsed.arguments = values["words"].as<std::vector<std::string>>();
    parsed.json = values.count("json") != 0;
    parsed.wait = values.count("wait") != 0;
    parsed.html = values["html"].as<std::string>();
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context ioContext(1);
    installFiberScheduler(ioContext);
    Commands commands(ioContext, parsed);
    const CtlExit code = commands.run();
    endProcess(static_cast<int>(code));
}
