#pragma once

#include "include/base/Clock.h"
#include "include/base/Findings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/** An IP number and a port. */
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    std::string text() const;
    bool operator<(const Endpoint &other) const;
    bool operator==(const Endpoint &other) const;
};

/** Reads "127.0.0.1:8080"; a fault is a finding at @p place. Thread safe. */
Endpoint parseEndpoint(const std::string &text, const std::string &place, Findings &findings);

/** Settings that a running node takes over at SIGHUP. */
struct NodeLimits {
    std::uint64_t bodyBytes = 1024UL * 1024;
    std::uint32_t headerBytes = 16 * 1024;
    std::uint32_t callerConnections = 20000;
    /** Requests that one connection may send ahead of their answers, and the bytes of bodies held for them. */
    std::uint32_t pipelinedRequests = 16;
    std::uint64_t pipelinedBytes = 1024UL * 1024;
    std::uint32_t queuePerClass = 64;
    std::uint32_t claims = 60000;
    std::uint64_t claimAnswerBytes = 32UL * 1024 * 1024;
    /** Callers' own keys that the whole fleet may write to the object API each second; a node takes its share. */
    std::uint32_t fleetKeyWritesPerSecond = 100;
    /** Calls for pledges that the whole fleet may make each second; a node takes its share. */
    std::uint32_t fleetPledgeCallsPerSecond = 200;
    /** Bytes of requests and answers each second that this node may move between regions. */
    std::uint64_t regionBytesPerSecond = 8UL * 1024 * 1024;
};

/** Times of the control protocols. */
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

/** The one backend server beside this node, which only processes on the same VM can reach. */
struct LocalServer {
    std::string service;
    Endpoint address;
};

/** What a node learns from its settings file: its own place in the world, and nothing about servers. */
struct NodeSettings {
    std::string node;
    std::string zone;
    std::string region;
    Endpoint callers;
    Endpoint peers;
    Endpoint operators;
    /** Where other nodes reach the peer port, if that differs from where it listens. */
    Endpoint advertisedPeers;
    Endpoint objectApi;
    /** Set on platforms where each VM has one server and one node, and the node is the way to and from it. */
    std::optional<LocalServer> server;
    /** Where the platform asks whether this node takes callers. @pre set if there is a local server. */
    Endpoint readiness;
    /** Where counters are served as text; port 0: nowhere. */
    Endpoint metrics;
    /** JSON text of the figures that bind the fleet on its platform; empty: none are known. */
    std::string bounds;
    /** Peer endpoints of some nodes, to join through while the object API is away. */
    std::vector<Endpoint> seeds;
    NodeLimits limits;
    NodeTimes times;
};

/** Reads and checks a settings document as a whole; each fault is a finding with its place. Thread safe. */
NodeSettings parseNodeSettings(const std::string &text, const std::string &source, Findings &findings);

} // namespace waxwing
