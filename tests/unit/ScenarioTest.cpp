#include "tests/support/Scenario.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace waxwing;
using namespace waxwing::testing;

TEST_CASE("scenario files, each one, meets its expectations")
{
    int files = 0;
    for (const auto &entry : std::filesystem::directory_iterator(SCENARIO_DIR)) {
        std::ifstream file(entry.path());
        std::stringstream text;
        text << file.rdbuf();
        const auto result = runScenario(text.str());
        INFO(entry.path().filename().string());
        REQUIRE_MESSAGE(result, (result ? "" : result.error().message));
        CHECK(result->expectations > 0);
        for (const std::string &failure : result->failures) {
            FAIL_CHECK(result->story << "\n" << failure);
        }
        ++files;
    }
    CHECK(files >= 8);
}

TEST_CASE("scenario language, errors in the text, are reported with line and column")
{
    const std::string service = "story s\nservice servers 3\n";
    const auto errorOf = [](const std::string &text) {
        const auto result = runScenario(text);
        return result ? std::string("none") : result.error().message;
    };
    CHECK(errorOf("") == "1:1: the scenario has no end");
    CHECK(errorOf(service + "at soon server s1 well\nend 1s").find("3:4:") == 0);
    CHECK(errorOf(service + "at 1s server s9 well\nend 1s").find("3:14: no such server") == 0);
    CHECK(errorOf(service + "at 1s server s1 melt\nend 1s").find("3:17: unknown fault") == 0);
    CHECK(errorOf(service + "at 1s server s1 stall\nend 1s").find("3:22: the line ends too early") == 0);
    CHECK(errorOf(service + "expect never server s1 gone\nend 1s").find("3:24:") == 0);
    CHECK(errorOf("story s\nend 1s").find("2:1: the service comes first") == 0);
}

TEST_CASE("scenario language, expectation that does not hold, is reported")
{
    const auto result = runScenario("story s\nservice servers 4 rate 50\nexpect within 1s of 1s server s1 out\n"
                                    "expect good at least 100%\nexpect never server s2 in\nend 5s");
    REQUIRE(result);
    CHECK(result->failures.size() == 3);
}
