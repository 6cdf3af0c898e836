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
 * Returns the digest by which a poison request is recognized: of service, method, target and body. It does not depend
 * on the sender. Thread safe.
 */
std::uint64_t requestDigest(const std::string &service, const HttpRequest &request);

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
 * Counts the servers that crashed while they ran a given request. Prevents one request from crashing server after
 * server when its caller retries it: after the second crash it is sent to no server. Crashes that other nodes report
 * are added too, and the same crash may be added more than once. Not thread safe.
 */
class PoisonRegistry
{
public:
    static constexpr std::size_t deathsToRefuse = 2;

    /** @pre @p clock outlives the registry. @p retention: how long a request's crashes count after the last report. */
    explicit PoisonRegistry(const Clock &clock, Millis retention = std::chrono::hours(1));
    /**
     * Records a crash. @p server: its id and incarnation. Returns false if the crash was already known; even then the
     * retention time starts again.
     */
    bool noteDeath(std::uint64_t digest, const std::string &server);
    std::size_t deaths(std::uint64_t digest) const;
    bool mustRefuse(std::uint64_t digest) const;
    /** Removes digests whose last report is older than the retention time. Until then their crashes count. */
    void expire();
    std::size_t size() const;

private:
    struct Entry {
        std::set<std::string> servers;
        SteadyTime lastDeath;
    };

    const Clock &clock_;
    Millis retention_;
    std::map<std::uint64_t, Entry> entries_;
};

} // namespace waxwing
