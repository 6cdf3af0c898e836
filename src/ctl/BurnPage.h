#pragma once

#include "include/report/BurnRecorder.h"

#include <map>
#include <string>
#include <vector>

namespace waxwing {

/** Burn rates of one class over all nodes. */
struct ClassBurn {
    std::string name;
    double successRate = 0.99;
    BurnSlices slices;
    std::vector<BurnRate> rates;
};

/** Formats the burn report as aligned text. Thread safe. */
std::string burnText(const std::vector<ClassBurn> &classes);
/** Formats the burn report as JSON. Thread safe. */
std::string burnJson(const std::vector<ClassBurn> &classes);
/** Formats the burn report as an HTML page with a plot for each class, for readers outside operations. Thread safe. */
std::string burnHtml(const std::vector<ClassBurn> &classes, const std::string &generatedAt);

} // namespace waxwing
