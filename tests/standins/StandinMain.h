#pragma once

#include "src/fiber/FiberLoop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>

namespace waxwing::standin {

/** Parses options and prints help if requested; otherwise runs @p body on a fiber thread and exits with its result. */
inline int
runStandin(int argc, char **argv, boost::program_options::options_description options,
           const std::function<int(boost::asio::io_context &, const boost::program_options::variables_map &)> &body)
{
    namespace po = boost::program_options;
    options.add_options()("help", "print this");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << error.what() << "\n" << options;
        return 2;
    }
    if (values.count("help") != 0) {
        std::cout << options;
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context ioContext(1);
    installFiberScheduler(ioContext);
    endProcess(body(ioContext, values));
}

/** Prints a listening port to standard output, for the process that started this one. */
inline void printPort(const char *name, unsigned port)
{
    std::printf("%s=%u\n", name, port);
    std::fflush(stdout);
}

/** Suspends until SIGTERM or SIGINT. */
inline void waitForStop(boost::asio::io_context &ioContext)
{
    boost::asio::signal_set signals(ioContext, SIGTERM, SIGINT);
    await([&](auto handle) {
        signals.async_wait([handle](boost::system::error_code error, int) mutable { handle(error); });
    });
}

} // namespace waxwing::standin
