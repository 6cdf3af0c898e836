#pragma once

#include "include/report/BurnRecorder.h"

#include <map>
#include <string>
#include <vector>

namespace waxwing {

/** Burn of one class over the whole fleet. */
struct ClassBurn {
    std::string name;
    double successRate = 0.99;
    BurnSlices slices;
    std::vector<BurnRate> rates;
};

/** The burn report as aligned text. Thread safe. */
std::string burnText(const std::vector<ClassBurn> &classes);
/** The burn report as JSON. Thread safe. */
std::string burnJson(const std::vector<ClassBurn> &classes);
/** The burn report as one HTML page with a plot for each class, for a board to read. Thread safe. */
std::string burnHtml(const std::vector<ClassBurn> &classes, const std::string &generatedAt);

} // namespace waxwing
