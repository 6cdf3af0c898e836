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

/** Digest under which a request that ends its server is recognised, whoever sends it. Thread safe. */
std::uint64_t requestDigest(const std::string &service, const HttpRequest &request);

/** A server's death with a request running, as nodes tell it each other. */
struct PoisonDeath {
    std::uint64_t digest = 0;
    /** Names the server and its incarnation. */
    std::string server;
};

/** Thread safe. */
Record toRecord(const PoisonDeath &death, WallTime at);
/** Nothing if the record's key can't be read. Thread safe. */
std::optional<PoisonDeath> poisonDeathFrom(const Record &record);

/**
 * Counts the servers that died while they ran a given request. Guards against one request ending server after
 * server as its caller sends it again: after the second death it goes to no server any more. Deaths found by other
 * nodes are added too, and the same death may be added more than once. Not thread safe.
 */
class PoisonRegistry
{
public:
    static constexpr std::size_t deathsToRefuse = 2;

    /** @pre @p clock outlives the registry; @p retention: how long a death counts. */
    explicit PoisonRegistry(const Clock &clock, Millis retention = std::chrono::hours(1));
    /** @p server names the server and its incarnation. Returns true if the death was not known. */
    bool noteDeath(std::uint64_t digest, const std::string &server);
    std::size_t deaths(std::uint64_t digest) const;
    bool mustRefuse(std::uint64_t digest) const;
    /** Drops digests whose last death is older than the memory. */
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
