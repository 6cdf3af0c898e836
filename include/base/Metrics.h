#pragma once

#include "include/base/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace waxwing {

/** Counters, gauges and latency distributions (Boost.Accumulators) by name. Not thread safe: the node's thread only. */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    /** Adds @p by to the counter @p name, which is created at first use. */
    void count(const std::string &name, std::uint64_t by = 1);
    /** Adds a sample to the distribution @p name, which is created at first use. */
    void observe(const std::string &name, Duration value);
    /** Sets the gauge @p name, which is created at first use. */
    void set(const std::string &name, double value);
    std::uint64_t counter(const std::string &name) const;
    /** Returns the gauge @p name; 0 if it was never set. */
    double gauge(const std::string &name) const;
    /** Returns all metrics as one JSON document; latencies in milliseconds. */
    std::string json() const;
    /** Returns all metrics in the text format of Prometheus; latencies in seconds. */
    std::string text() const;

private:
    struct Distribution;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, std::unique_ptr<Distribution>> distributions_;
};

} // namespace waxwing
