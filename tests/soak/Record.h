#pragma once

#include "tests/soak/Schedule.h"
#include "tests/support/Mesh.h"

#include <string>
#include <vector>

namespace waxwing::soak {

/** The time that callers give the nodes for a request. */
constexpr Millis requestTimeout{3000};

/** What a caller saw of one request. Times are since the epoch of the system clock, as in the servers' ledgers. */
struct Observation {
    std::string id;
    int node = 0;
    bool idempotent = true;
    /** The customer whose key was sent; empty: none. */
    std::string customer;
    std::string key;
    Millis sent{0};
    Millis ended{0};
    /** 0: no complete response arrived. */
    unsigned status = 0;
    /** No response arrived because the connection was closed, not because the time ran out. */
    bool brokenOff = false;
    /** The response to an earlier request of the connection announced its end: this request was not read. */
    bool behindClose = false;
    /** Number of the batch that was sent on one connection without waiting; 0: none. */
    int pipeline = 0;
    std::string body;
    std::string expectedBody;
    /** The id that the response names. */
    std::string respondedId;
};

/** A node that was told to stop, and how it ended. */
struct StopRecord {
    int node = 0;
    Millis at{0};
    Millis exited{0};
    /** -1: it was still running when the time for a stop had passed. */
    int exitCode = 0;
};

/** Time in which a node was stopped, killed or paused, so that requests to it may get no response. */
struct Outage {
    int node = 0;
    Millis from{0};
    Millis until{0};
};

/** Time in which a customer's key must not be accepted. */
struct TakenKey {
    std::string key;
    Millis from{0};
    Millis until{0};
};

/** The quota of a customer and the bound of the platform on what runs in one window. */
struct QuotaBound {
    std::string customer;
    double ratePerSecond = 0;
    double burst = 0;
    Millis window{0};
    double over = 0;
    double slack = 0;
};

/** A process that ended although nobody ended it. */
struct UnexpectedEnd {
    std::string process;
    Millis at{0};
    int exitCode = 0;
    /** The end of its output. */
    std::string output;
};

/** All that one run has shown. */
struct RunRecord {
    std::vector<Observation> observations;
    std::vector<testing::Execution> executions;
    std::vector<StopRecord> stops;
    std::vector<Outage> outages;
    std::vector<TakenKey> takenKeys;
    std::vector<UnexpectedEnd> ends;
    QuotaBound quota;
    std::vector<std::string> keys;
    /** Text of all logs and ledgers. */
    std::string output;
    /** When the last fault had ended. */
    Millis lastFaultEnded{0};
    /** When each node had served all kinds of requests several times in a row; zero: not before the time ran out. */
    std::vector<Millis> servedAgain;
};

/** Returns the time since the epoch of the system clock. */
inline Millis systemNow()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace waxwing::soak
