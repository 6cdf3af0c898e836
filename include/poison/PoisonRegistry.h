#pragma once

#include "include/base/Clock.h"
#include "include/base/HttpMessage.h"
#include "include/member/Record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace waxwing {

/**
 * Returns the digest by which a poison request is recognized: of service, method, target and body, and of the customer
 * if there is one. It does not depend on the node that sends the request. Thread safe.
 */
std::uint64_t requestDigest(const std::string &service, const HttpRequest &request, const std::string &customer = {});

/** Crash of a server while it ran a request, as nodes report it to each other. */
struct PoisonDeath {
    std::uint64_t digest = 0;
    /** Id and incarnation of the server. */
    std::string server;
};

/** Returns the record by which nodes report @p death. @p at: its version. Thread safe. */
Record toRecord(const PoisonDeath &death, WallTime at);
/** Returns the crash that @p record reports, or nothing if its kind or key is wrong. Thread safe. */
std::optional<PoisonDeath> poisonDeathFrom(const Record &record);
/**
 * Returns the record by which nodes report that a server completed the request with @p digest. Builds that don't know
 * it ignore its key. @p at: its version. Thread safe.
 */
Record completionRecord(std::uint64_t digest, WallTime at);
/** Returns the digest of the completed request that @p record reports, or nothing. Thread safe. */
std::optional<std::uint64_t> completedDigestFrom(const Record &record);

/** Where a server crashed: beside this node, or as another node reports. */
enum class CrashOrigin {
    Local,
    Reported,
};

/**
 * Counts the servers that crashed while they ran a given request. Prevents one request from crashing server after
 * server when its caller retries it: after the second crash it is sent to no server. Crashes that other nodes report
 * are added too, and the same crash may be added more than once.
 *
 * A server may also crash for a reason of its own while it runs a popular request. A poison request crashes each server
 * that runs it, so one completed run clears a request. One that is refused can't complete: the node beside one of the
 * crashed servers, which is the same as seen from every node, lets it through again at growing intervals. Not thread
 * safe.
 */
class PoisonRegistry
{
public:
    static constexpr std::size_t deathsToRefuse = 2;
    /** A refused request is tried again this long after its last crash. */
    static constexpr Millis firstTrialDelay = std::chrono::seconds(30);
    /** Each further crash multiplies the delay, so that few trials of a poison request crash servers in an hour. */
    static constexpr int trialDelayFactor = 4;

    /** @pre @p clock outlives the registry. @p retention: how long a request's crashes count after the last report. */
    explicit PoisonRegistry(const Clock &clock, Millis retention = std::chrono::hours(1));
    /**
     * Records a crash. @p server: its id and incarnation. Returns false if the crash was already known; even then the
     * retention time starts again.
     */
    bool noteDeath(std::uint64_t digest, const std::string &server, CrashOrigin origin = CrashOrigin::Reported);
    /** Records that a server completed the request. Returns true if crashes were recorded, which are forgotten. */
    bool noteCompleted(std::uint64_t digest);
    std::size_t deaths(std::uint64_t digest) const;
    bool mustRefuse(std::uint64_t digest) const;
    /**
     * Returns true if this node is to run the request once although it must be refused. The next trial is due after
     * another delay. @pre mustRefuse().
     */
    bool takeTrial(std::uint64_t digest);
    /** Removes digests whose last report is older than the retention time. Until then their crashes count. */
    void expire();
    std::size_t size() const;

private:
    struct Entry {
        std::set<std::string> servers;
        /** Those of @c servers that crashed beside this node. */
        std::set<std::string> localServers;
        SteadyTime lastDeath;
        /** The later of the last crash and the last trial. */
        SteadyTime lastTried;
    };

    const Clock &clock_;
    Millis retention_;
    std::map<std::uint64_t, Entry> entries_;
};

} // namespace waxwing
