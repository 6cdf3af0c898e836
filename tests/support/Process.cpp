#include "tests/support/Process.h"

#include "src/fiber/FiberLoop.h"

#include <boost/asio/ip/tcp.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace waxwing::testing {

namespace {

/** Throws if @p done is false: a process that can't be set up is an error, not a failed check of a test. */
void require(bool done, const std::string &what)
{
    if (!done) {
        throw std::runtime_error("test process: " + what);
    }
}

namespace bp = boost::process;

constexpr Millis poll{10};

struct Loop {
    boost::asio::io_context ioContext{1};
    std::unique_ptr<HttpClient> client;
};

Loop &loop()
{
    static Loop *instance = new Loop;
    return *instance;
}

std::string contents(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

/** Uses ports below the system's ephemeral range, so that no outgoing connection can occupy the port before its use. */
Endpoint freeEndpoint()
{
    static unsigned next = 10000 + static_cast<unsigned>(getpid() * 37) % 15000;
    while (true) {
        next = next >= 30000 ? 10000 : next + 1;
        boost::system::error_code error;
        boost::asio::ip::tcp::acceptor probe(loop().ioContext);
        probe.open(boost::asio::ip::tcp::v4(), error);
        probe.bind({boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(next)}, error);
        if (!error) {
            return Endpoint{"127.0.0.1", static_cast<std::uint16_t>(next)};
        }
    }
}

boost::asio::io_context &loopContext()
{
    return loop().ioContext;
}

HttpClient &loopClient()
{
    return *loop().client;
}

void setUpLoop()
{
    installFiberScheduler(loop().ioContext);
    loop().client = std::make_unique<HttpClient>(loop().ioContext);
}

void pause(Millis length)
{
    sleepFor(loop().ioContext, length);
}

bool eventually(const std::function<bool()> &done, Millis within)
{
    const auto until = std::chrono::steady_clock::now() + within;
    while (!done()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        pause(poll);
    }
    return true;
}

void runConcurrently(const std::vector<std::function<void()>> &tasks)
{
    std::size_t left = tasks.size();
    for (const auto &task : tasks) {
        spawnFiber([&left, &task] {
            task();
            --left;
        });
    }
    while (left > 0) {
        pause(poll);
    }
}

std::string otherProgram(const std::string &program)
{
    const char *const otherBuild = std::getenv("WAXWING_OTHER_BUILD");
    return otherBuild != nullptr ? std::string(otherBuild) + "/" + program : program;
}

std::string nodeProgram(int node, bool upgrade, int earlierStarts)
{
    const bool other = upgrade ? earlierStarts == 0 : node % 2 != 0;
    return other ? otherProgram("waxwingd") : "waxwingd";
}

Process::Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &log)
    : log_(log)
    , child_((std::filesystem::path(BINARY_DIR) / program).string(), bp::args(arguments),
             bp::std_in<bp::null, (bp::std_out & bp::std_err)> log)
{ }

Process::~Process()
{
    kill();
}

void Process::signal(int number)
{
    if (child_.running()) {
        ::kill(child_.id(), number);
    }
}

void Process::kill()
{
    if (child_.running()) {
        ::kill(child_.id(), SIGKILL);
        child_.wait();
    }
}

int Process::waitForExit(Millis within)
{
    return eventually([this] { return !child_.running(); }, within) ? child_.exit_code() : -1;
}

bool Process::running()
{
    return child_.running();
}

std::size_t Process::memoryKilobytes(const std::string &name) const
{
    std::ifstream status("/proc/" + std::to_string(child_.id()) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.compare(0, name.size() + 1, name + ":") == 0) {
            return std::stoul(line.substr(name.size() + 1));
        }
    }
    return 0;
}

std::string Process::output() const
{
    return contents(log_);
}

std::uint16_t Process::waitForPrintedNumber(const std::string &name)
{
    const std::string mark = name + "=";
    std::size_t at = std::string::npos;
    std::string text;
    eventually([&] {
        text = "\n" + output();
        at = text.find("\n" + mark);
        return at != std::string::npos && text.find('\n', at + 1) != std::string::npos;
    });
    require(at != std::string::npos, "expected value printed");
    return static_cast<std::uint16_t>(std::stoi(text.substr(at + 1 + mark.size())));
}

} // namespace waxwing::testing
