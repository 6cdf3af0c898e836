#pragma once

#include "include/base/Clock.h"
#include "include/base/Findings.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/** An IP address and a port. */
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    std::string text() const;
    bool operator<(const Endpoint &other) const;
    bool operator==(const Endpoint &other) const;
};

/** Parses "127.0.0.1:8080"; an error becomes a finding at @p place. Thread safe. */
Endpoint parseEndpoint(const std::string &text, const std::string &place, Findings &findings);

/** Limits on memory, traffic and object API calls. A running node reloads them when its settings file changes. */
struct NodeLimits {
    static constexpr std::uint32_t minMemoryMegabytes = 32;

    /** Memory of the process; the platform may kill one that exceeds it. */
    std::uint32_t memoryMegabytes = 256;
    std::uint64_t bodyBytes = 1024UL * 1024;
    std::uint32_t headerBytes = 16 * 1024;
    std::uint32_t callerConnections = 20000;
    /** Requests that one connection may pipeline, and the bytes of bodies held for them. */
    std::uint32_t pipelinedRequests = 16;
    std::uint64_t pipelinedBytes = 1024UL * 1024;
    std::uint32_t queuePerClass = 64;
    std::uint32_t claims = 60000;
    std::uint64_t claimAnswerBytes = 32UL * 1024 * 1024;
    /**
     * Idempotency keys chosen by callers that the whole fleet may write to the object API each second; each node gets
     * its share.
     */
    std::uint32_t fleetKeyWritesPerSecond = 100;
    /** Object API calls for pledges that the whole fleet may make each second; each node gets its share. */
    std::uint32_t fleetPledgeCallsPerSecond = 200;
    /** Bytes per second of requests that this node may send to homes in other regions, and of their responses. */
    std::uint64_t regionBytesPerSecond = 8UL * 1024 * 1024;
};

/** Intervals and timeouts of control protocols, tickets, shutdown and ejection. */
struct NodeTimes {
    Millis ticketValidity = std::chrono::minutes(20);
    Millis announceTimeout = std::chrono::seconds(2);
    Millis ping = std::chrono::seconds(1);
    Millis pingTimeout = std::chrono::seconds(3);
    Millis antiEntropy = std::chrono::seconds(2);
    Millis watch = std::chrono::seconds(30);
    Millis stopWithin = std::chrono::seconds(20);
    Millis firstEjection = std::chrono::seconds(5);
    Millis ramp = std::chrono::seconds(10);
};

/** Which requests may wait at their ingress for a slot of a server, and how many at the same time. */
struct WaitingSettings {
    /** A request may wait only if its route's response time objective is at least this long; zero: none waits. */
    Millis minObjective = std::chrono::seconds(2);
    std::uint32_t maxRequests = 512;
    /**
     * Requests that count against a customer's quota wait, too. Off by default, because measurements showed no increase
     * in served requests.
     */
    bool limitedCustomers = false;
};

/** How homes treat requests whose nested calls will likely fail (CallAdmission). */
struct NestedCallSettings {
    /** Orders such requests behind others of their priority, and refuses those that can't start in time there. */
    bool admission = false;
};

/**
 * Fractions of this node's part of the fleet's retry limit that it uses, from 0 to 1. docs/OPERATIONS.md describes how
 * to choose them.
 */
struct RetrySettings {
    /** Of the retries that the requests for a service allow. */
    double usableShare = 0.75;
    /** Of the additional retries that the limit allows per window, regardless of the requests. */
    double usableSlack = 0.75;
};

/** Limits on what a node buffers for callers and servers that read slowly. */
struct FlowSettings {
    std::uint64_t connectionBytes = 1024UL * 1024;
    std::uint64_t nodeBytes = 24UL * 1024 * 1024;
    /** A connection that makes no progress for this long is closed. */
    Millis stall = std::chrono::seconds(10);
};

/** The one backend server beside this node, which only processes on the same VM can reach. */
struct LocalServer {
    std::string service;
    Endpoint address;
};

/** The contents of a node's settings file: the node's own location and endpoints, but no list of backend servers. */
struct NodeSettings {
    std::string node;
    std::string zone;
    std::string region;
    Endpoint callers;
    Endpoint peers;
    Endpoint operators;
    /** Endpoint at which other nodes reach the peer port; equals @c peers if not set. */
    Endpoint advertisedPeers;
    Endpoint objectApi;
    /**
     * Set on platforms where each VM has one server and one node, and all requests to and from the server pass through
     * the node.
     */
    std::optional<LocalServer> server;
    /**
     * Endpoint that the platform's readiness checks call to find out whether this node accepts callers. @pre set if
     * there is a local server.
     */
    Endpoint readiness;
    /** Endpoint that serves the metrics as text; port 0: disabled. */
    Endpoint metrics;
    /** JSON text of the platform's limits on the whole fleet, such as its shutdown grace period; empty: unknown. */
    std::string bounds;
    /** Peer endpoints of some nodes, for joining while the object API is unavailable. */
    std::vector<Endpoint> seeds;
    NodeLimits limits;
    NodeTimes times;
    WaitingSettings waiting;
    FlowSettings flow;
    NestedCallSettings nestedCalls;
    RetrySettings retries;
    /**
     * The whole fleet starts for the first time: the node waits a little for the others to register before it reads the
     * store. False after any restart.
     */
    bool bootstrap = false;
    /** Parts of the platform's contract that are in force; names that this build does not know are kept. */
    std::set<std::string> contracts;
};

/** Parses and validates a settings document; each error is a finding with its place. Thread safe. */
NodeSettings parseNodeSettings(const std::string &text, const std::string &source, Findings &findings);

} // namespace waxwing
