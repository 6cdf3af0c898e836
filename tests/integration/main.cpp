#define DOCTEST_CONFIG_IMPLEMENT
#include "tests/support/Fleet.h"

#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    waxwing::testing::setUpLoop();
    doctest::Context context(argc, argv);
    const int code = context.run();
    std::fflush(nullptr);
    // Fibers of finished tests may still wait for timers; nothing is left to do for them.
    std::_Exit(code);
}
