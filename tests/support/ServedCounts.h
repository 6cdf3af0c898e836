#pragma once

#include <algorithm>

namespace waxwing::testing {

/** How the requests of a simulation ended. */
struct ServedCounts {
    int requests = 0;
    /** Answered within the objective. */
    int inTime = 0;
    /** Answered after it. */
    int late = 0;
    int refused = 0;

    double refusedShare() const
    {
        return static_cast<double>(refused) / std::max(1, requests);
    }
    double inTimeShare() const
    {
        return static_cast<double>(inTime) / std::max(1, requests);
    }
    ServedCounts &operator+=(const ServedCounts &other)
    {
        requests += other.requests;
        inTime += other.inTime;
        late += other.late;
        refused += other.refused;
        return *this;
    }
};

} // namespace waxwing::testing
