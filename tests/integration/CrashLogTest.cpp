#include "tests/support/Mesh.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

// Guards against a crash that leaves no trace of where the process failed.
TEST_CASE("crash log, fault or abort of a node, writes one line with the signal and the stack")
{
    Mesh mesh;
    const std::vector<int> signals = {SIGSEGV, SIGABRT};
    for (int node = 0; node < 2; ++node) {
        const int signal = signals.at(static_cast<std::size_t>(node));
        mesh.node(node).signal(signal);
        CHECK(mesh.node(node).waitForExit() == signal);
        const std::string signalField = "signal=" + std::to_string(signal);
        CHECK(mesh.countLogLines(node, {"event=process_crashed", signalField, "stack=0x", ",0x"}) == 1);
    }
}
