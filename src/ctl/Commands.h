#pragma once

#include "include/base/Clock.h"
#include "include/settings/NodeSettings.h"
#include "platform/ObjectApi.h"
#include "src/ctl/IntentFile.h"
#include "src/http/HttpClient.h"

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace waxwing {

/** Exit codes of waxwingctl; documented in docs/INTERFACE.md. */
enum class CtlExit : int {
    Ok = 0,
    Usage = 2,
    Findings = 3,
    Conflict = 4,
    Unavailable = 5,
    NotConfirmed = 6,
};

/** Parsed command line of waxwingctl. */
struct CtlOptions {
    std::vector<std::string> arguments;
    Endpoint objectApi;
    Endpoint node;
    bool json = false;
    bool wait = false;
    Millis timeout{10000};
    std::string html;
};

/** The commands of waxwingctl. @pre methods are called from a fiber. Not thread safe. */
class Commands
{
public:
    Commands(boost::asio::io_context &ioContext, CtlOptions options);
    CtlExit run();

private:
    /** Result of writing the intents of one service. */
    struct ApplyResult {
        std::string service;
        std::string result;
        std::uint64_t revision = 0;
        std::string detail;
    };

    CtlExit check();
    CtlExit apply();
    CtlExit diff();
    CtlExit read();
    CtlExit status();
    CtlExit explain();
    CtlExit report();
    CtlExit remove();

    CtlExit loadFile(const std::string &path, IntentFile &file);
    ApplyResult applyOne(const std::string &service, const IntentDocument &document);
    ApplyResult resolveUnknownWrite(const std::string &service, const nlohmann::json &value, std::uint64_t base);
    CtlExit waitForAll(const std::vector<ApplyResult> &applied, nlohmann::json &out);
    CtlExit unavailable(const Error &error);

    boost::asio::io_context &ioContext_;
    CtlOptions options_;
    HttpClient client_;
    ObjectApi api_;
};

} // namespace waxwing
