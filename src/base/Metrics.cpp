#include "include/base/Metrics.h"

#include <array>
#include <cctype>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <nlohmann/json.hpp>

namespace waxwing {

namespace acc = boost::accumulators;

namespace {
constexpr std::array<double, 3> probabilities = {0.5, 0.9, 0.99};
}

struct Metrics::Distribution {
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square>>
        samples{acc::tag::extended_p_square::probabilities = probabilities};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, std::uint64_t by)
{
    counters_[name] += by;
}

void Metrics::observe(const std::string &name, Duration value)
{
    std::unique_ptr<Distribution> &slot = distributions_[name];
    if (!slot) {
        slot = std::make_unique<Distribution>();
    }
    slot->samples(std::chrono::duration<double, std::milli>(value).count());
}

std::uint64_t Metrics::counter(const std::string &name) const
{
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

void Metrics::set(const std::string &name, double value)
{
    gauges_[name] = value;
}

double Metrics::gauge(const std::string &name) const
{
    const auto found = gauges_.find(name);
    return found == gauges_.end() ? 0.0 : found->second;
}

std::string Metrics::text() const
{
    const auto nameOf = [](const std::string &name) {
        std::string out = "waxwing_";
        for (const char c : name) {
            const bool plain = std::isalnum(static_cast<unsigned char>(c)) != 0;
            out += plain ? c : '_';
        }
        return out;
    };
    std::ostringstream out;
    for (const auto &[name, value] : counters_) {
        const std::string full = nameOf(name) + "_total";
        out << "# TYPE " << full << " counter\n" << full << " " << value << "\n";
    }
    for (const auto &[name, value] : gauges_) {
        const std::string full = nameOf(name);
        out << "# TYPE " << full << " gauge\n" << full << " " << value << "\n";
    }
    constexpr double millisPerSecond = 1000.0;
    for (const auto &[name, distribution] : distributions_) {
        const auto &samples = distribution->samples;
        const auto quantiles = acc::extended_p_square(samples);
        const std::string full = nameOf(name) + "_seconds";
        out << "# TYPE " << full << " summary\n";
        for (std::size_t i = 0; i < probabilities.size(); ++i) {
            out << full << "{quantile=\"" << probabilities[i] << "\"} " << quantiles[i] / millisPerSecond << "\n";
        }
        const double count = static_cast<double>(acc::count(samples));
        out << full << "_sum " << acc::mean(samples) * count / millisPerSecond << "\n";
        out << full << "_count " << acc::count(samples) << "\n";
    }
    return out.str();
}

std::string Metrics::json() const
{
    nlohmann::json out = {{"counters", counters_}, {"gauges", gauges_}, {"latenciesMs", nlohmann::json::object()}};
    for (const auto &[name, distribution] : distributions_) {
        const auto &samples = distribution->samples;
        const auto quantiles = acc::extended_p_square(samples);
        out["latenciesMs"][name] = {{"count", acc::count(samples)}, {"mean", acc::mean(samples)},
                                    {"max", acc::max(samples)},     {"p50", quantiles[0]},
                                    {"p90", quantiles[1]},          {"p99", quantiles[2]}};
    }
    return out.dump(2);
}

} // namespace waxwing
