#pragma once

#include "include/home/ServiceHome.h"
#include "include/limit/RetryBudget.h"
#include "include/wire/Messages.h"
#include "src/node/RunControl.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwing {

struct NodeCore;
class FiberLatch;

/**
 * Home of the backend servers that announced themselves here: the only process that hands them work. The decisions
 * are ServiceHome's; this service carries them out over HTTP. Not thread safe.
 */
class HomeService
{
public:
    explicit HomeService(NodeCore &core);
    void start();

    /** Handles a server's announcement; @p body is its JSON. */
    HttpResponse announce(const std::string &body);
    /**
     * Hands the request to a server and returns how it ended. A request that is not idempotent is handed over at
     * most once, unless it is known that no byte of it reached the first server or that server said that it did not
     * run it. @pre called from a fiber.
     */
    ExecReply run(const Exec &exec, const RunControlPtr &control);
    /** Servers that this node is home to. */
    const std::map<std::string, std::unique_ptr<ServiceHome>> &homes() const;
    /** What ingress learned of other homes' servers. */
    void addPeerEvidence(const std::string &service, bool bad);
    /** Tells servers, as they announce, to find another home. */
    void redirectServers();
    std::size_t running() const;
    /** Servers still announced here and not yet gone elsewhere. */
    std::size_t presentServers() const;

private:
    /** One hand-over to one server. */
    struct Attempt {
        std::string service;
        std::string server;
        SteadyTime startedAt;
        Millis responseTime{0};
        int lateSteps = 0;
        bool idempotent = false;
        bool retriedElsewhere = false;
        std::set<std::string> tried;
        RunControlPtr control;
    };
    /** A request that failed without an answer; whether its server died with it shows when that one returns. */
    struct UnconfirmedDeath {
        std::string service;
        std::string server;
        std::uint64_t incarnation = 0;
        std::uint64_t digest = 0;
        SteadyTime at;
    };
    struct Waiting {
        std::shared_ptr<FiberLatch> latch;
        std::string server;
        bool expired = false;
    };
    struct RunState;

    ServiceHome &homeFor(const std::string &service);
    void applyIntent(const std::string &service);
    void tickLoop();
    void publishServices();
    void recordLateness(Attempt &attempt, SteadyTime now);
    void pollQueue(ServiceHome &home);
    /** Waits for a server; false with the reply set if there is none to be had. */
    bool admit(RunState &run);
    /** One hand-over; true if another server should be tried. */
    bool attempt(RunState &run);
    bool handleFailure(RunState &run, const Attempt &attempt, const ExchangeError &error, std::uint64_t incarnation);
    bool mayRetry(RunState &run);
    void noteDeath(RunState &run, const std::string &server, std::uint64_t incarnation);
    void logDecisions(const std::string &service, const std::vector<HomeDecision> &decisions);

    NodeCore &core_;
    std::map<std::string, std::unique_ptr<ServiceHome>> homes_;
    std::map<std::string, RetryBudget> budgets_;
    std::map<std::uint64_t, Waiting> waiting_;
    std::list<Attempt> attempts_;
    std::vector<UnconfirmedDeath> unconfirmedDeaths_;
    std::uint64_t nextId_ = 1;
    std::size_t running_ = 0;
    bool redirectServers_ = false;
};

} // namespace waxwing
