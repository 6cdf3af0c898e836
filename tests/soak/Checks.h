#pragma once

#include "tests/soak/Record.h"

#include <memory>
#include <string>
#include <vector>

namespace waxwing::soak {

/** One violation of a promise. */
struct Finding {
    std::string check;
    std::string what;
    /** The request, node or process concerned. */
    std::string subject;
    Millis at{0};
};

/** Time after the last fault in which every node must serve all kinds of requests again. */
constexpr Millis recoveryBound{15000};

/** A promise that is checked against the record of a run. */
class Check
{
public:
    virtual ~Check() = default;
    virtual std::string name() const = 0;
    virtual std::vector<Finding> judge(const RunRecord &record) const = 0;

protected:
    Finding finding(const std::string &what, const std::string &subject, Millis at) const;
};

/** Returns every check. */
std::vector<std::unique_ptr<Check>> allChecks();

} // namespace waxwing::soak
