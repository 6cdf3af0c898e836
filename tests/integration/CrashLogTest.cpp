#include "tests/support/Mesh.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace waxwing;
using namespace waxwing::testing;

// Guards against a process that ends by a fault and leaves nothing that tells where.
TEST_CASE("crash log, fault or abort of a node, is one line with the signal and the stack")
{
    Mesh mesh;
    const std::vector<int> signals = {SIGSEGV, SIGABRT};
    for (int node = 0; node < 2; ++node) {
        const int signal = signals.at(static_cast<std::size_t>(node));
        mesh.node(node).signal(signal);
        CHECK(mesh.node(node).waitForExit() == signal);
        const std::string word = "signal=" + std::to_string(signal);
        CHECK(mesh.countLogLines(node, {"event=process_crashed", word, "stack=0x", ",0x"}) == 1);
    }
}
