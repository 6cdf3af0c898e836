#define DOCTEST_CONFIG_IMPLEMENT
#include "src/fiber/FiberLoop.h"
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
    waxwing::endProcess(code);
}
