#include "tests/support/Process.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

/** A settings file that waxwingd accepts. */
class SettingsFile
{
protected:
    SettingsFile()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "waxwing-settings-XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        directory_ = pattern;
        std::ofstream(directory_ + "/node.json")
            << R"({"node": "n", "zone": "z", "region": "r", "objectApi": "127.0.0.1:7000", "listen": )"
            << R"({"callers": "127.0.0.1:7100", "peers": "127.0.0.1:7101", "operators": "127.0.0.1:7102"}})";
    }

    ~SettingsFile()
    {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }

    /** Returns the exit code of a check of the settings with one more argument. */
    int check(const std::string &argument) const
    {
        Process node("waxwingd", {"--settings", directory_ + "/node.json", "--check", argument},
                     directory_ + "/node.log");
        return node.waitForExit();
    }

    std::string directory_;
};

} // namespace

// Guards against a node that does not start because its platform states no memory limit, or ignores a wrong one.
TEST_CASE_FIXTURE(SettingsFile, "command line, memory of the process, may be empty but not wrong")
{
    constexpr int exitUsage = 2;
    CHECK(check("--memory-megabytes=260") == 0);
    CHECK(check("--memory-megabytes=") == 0);
    CHECK(check("--memory-megabytes=2") == exitUsage);
    CHECK(check("--memory-megabytes=much") == exitUsage);
}
