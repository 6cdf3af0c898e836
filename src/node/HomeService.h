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
 * Home of the backend servers that announced themselves here: the only process that sends them work. ServiceHome makes
 * the decisions, and this service carries them out over HTTP. Not thread safe.
 */
class HomeService
{
public:
    explicit HomeService(NodeCore &core);
    void start();

    /** Handles a server's announcement; @p body is its JSON. */
    HttpResponse announce(const std::string &body);
    /**
     * Sends the request to a server and returns its result. Retries at other servers within the retry budget; a
     * non-idempotent request only if no byte of it was sent or the server reported that it did not run it. @pre
     * called from a fiber.
     */
    ExecReply run(const Exec &exec, const RunControlPtr &control);
    /** Returns the homes of this node by service, with their servers. */
    const std::map<std::string, std::unique_ptr<ServiceHome>> &homes() const;
    /** Adds evidence from a request that this node sent to another home; see ServiceHome::addPeerEvidence(). */
    void addPeerEvidence(const std::string &service, bool bad);
    /** Redirects servers to other homes, in the replies to their announcements. */
    void redirectServers();
    std::size_t running() const;
    /** Returns the number of servers that are announced here and have not moved to another home yet. */
    std::size_t presentServers() const;

private:
    /** One attempt of a request at one server. */
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
    /**
     * A request whose connection broke before the response was complete. If its server announces itself with another
     * incarnation soon after, the server crashed.
     */
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
    /** Waits for a free server. Returns false with the reply set if there is none. */
    bool admit(RunState &run);
    /** Sends the request to one server. Returns true if another server should be tried. */
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
