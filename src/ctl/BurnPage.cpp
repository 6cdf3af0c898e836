#include "src/ctl/BurnPage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace waxwing {

namespace {

constexpr int plotWidth = 720;
constexpr int plotHeight = 140;

std::string formatted(const char *format, double value)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), format, value);
    return text.data();
}

std::string budgetState(const ClassBurn &one)
{
    const double longest = one.rates.back().burn;
    const double shortest = one.rates.front().burn;
    if (shortest > 10.0) {
        return "spending its budget fast: act now";
    }
    return longest > 1.0 ? "over its budget" : "within its budget";
}

std::string plot(const ClassBurn &one)
{
    std::string svg = "<svg viewBox='0 0 " + std::to_string(plotWidth) + " " + std::to_string(plotHeight)
                      + "' width='100%' role='img' aria-label='share of requests that missed the intent'>";
    double worst = 1.0 - one.successRate;
    for (const BurnSlice &slice : one.slices) {
        if (slice.counts.total() > 0) {
            worst =
                std::max(worst, static_cast<double>(slice.counts.bad()) / static_cast<double>(slice.counts.total()));
        }
    }
    const double width = static_cast<double>(plotWidth) / std::max<std::size_t>(one.slices.size(), 1);
    double x = 0.0;
    for (const BurnSlice &slice : one.slices) {
        const double share = slice.counts.total() == 0
                                 ? 0.0
                                 : static_cast<double>(slice.counts.bad()) / static_cast<double>(slice.counts.total());
        const double height = share / worst * (plotHeight - 10);
        svg += "<rect x='" + formatted("%.1f", x) + "' y='" + formatted("%.1f", plotHeight - height) + "' width='"
               + formatted("%.1f", std::max(1.0, width - 1.0)) + "' height='" + formatted("%.1f", height)
               + "' fill='#b5442e'/>";
        x += width;
    }
    const double allowedY = plotHeight - (1.0 - one.successRate) / worst * (plotHeight - 10);
    svg += "<line x1='0' x2='" + std::to_string(plotWidth) + "' y1='" + formatted("%.1f", allowedY) + "' y2='"
           + formatted("%.1f", allowedY) + "' stroke='#333' stroke-dasharray='4 3'/></svg>";
    return svg
           + "<p class='note'>Each bar is one slice of time: 5 minutes in the last hour, one hour in the last twelve, "
             "six hours before that; full height is "
           + formatted("%.2f%%", worst * 100.0) + " of requests; the dashed line is the allowed share.</p>";
}

} // namespace

std::string burnText(const std::vector<ClassBurn> &classes)
{
    std::string out =
        "class                            target   window  requests      good      late    failed   refused"
        "   unknown     burn\n";
    for (const ClassBurn &one : classes) {
        for (const BurnRate &rate : one.rates) {
            std::array<char, 256> line{};
            const BurnCounts &c = rate.counts;
            std::snprintf(line.data(), line.size(), "%-30s %7.3f%%   %6s %9llu %9llu %9llu %9llu %9llu %9llu %8.2f\n",
                          one.name.c_str(), one.successRate * 100.0, rate.label.c_str(),
                          static_cast<unsigned long long>(c.total()), static_cast<unsigned long long>(c.good),
                          static_cast<unsigned long long>(c.late), static_cast<unsigned long long>(c.failed),
                          static_cast<unsigned long long>(c.refused), static_cast<unsigned long long>(c.unknown),
                          rate.burn);
            out += line.data();
        }
        out += "  " + one.name + " is " + budgetState(one) + "\n";
    }
    return out;
}

std::string burnJson(const std::vector<ClassBurn> &classes)
{
    nlohmann::json out = nlohmann::json::array();
    for (const ClassBurn &one : classes) {
        nlohmann::json windows = nlohmann::json::array();
        for (const BurnRate &rate : one.rates) {
            const BurnCounts &c = rate.counts;
            windows.push_back({{"window", rate.label},
                               {"requests", c.total()},
                               {"good", c.good},
                               {"late", c.late},
                               {"failed", c.failed},
                               {"refused", c.refused},
                               {"unknown", c.unknown},
                               {"burn", rate.burn}});
        }
        out.push_back(
            {{"class", one.name}, {"target", one.successRate}, {"verdict", budgetState(one)}, {"windows", windows}});
    }
    return out.dump(2) + "\n";
}

std::string burnHtml(const std::vector<ClassBurn> &classes, const std::string &generatedAt)
{
    std::string out =
        "<!doctype html><html lang='en'><meta charset='utf-8'><title>Service-level burn</title><style>"
        "body{font:16px/1.5 sans-serif;max-width:46rem;margin:2rem auto;color:#222}"
        "table{border-collapse:collapse;width:100%}td,th{padding:.2rem .6rem;text-align:right;"
        "border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}"
        ".note{color:#666;font-size:85%}</style><h1>Service-level burn</h1><p>Made "
        + generatedAt
        + ". A burn of 1 spends the allowed share of missed requests exactly; above 1 the target will be missed.</p>";
    for (const ClassBurn &one : classes) {
        out +=
            "<h2>" + one.name + "</h2><p>Target " + formatted("%.3f%%", one.successRate * 100.0) + ": <strong>"
            + budgetState(one) + "</strong>.</p>" + plot(one)
            + "<table><tr><th>window</th><th>requests</th><th>late</th><th>failed</th><th>refused</th><th>unknown</th>"
              "<th>burn</th></tr>";
        for (const BurnRate &rate : one.rates) {
            const BurnCounts &c = rate.counts;
            out += "<tr><td>" + rate.label + "</td><td>" + std::to_string(c.total()) + "</td><td>"
                   + std::to_string(c.late) + "</td><td>" + std::to_string(c.failed) + "</td><td>"
                   + std::to_string(c.refused) + "</td><td>" + std::to_string(c.unknown) + "</td><td>"
                   + formatted("%.2f", rate.burn) + "</td></tr>";
        }
        out += "</table>";
    }
    return out + "</html>\n";
}

} // namespace waxwing
