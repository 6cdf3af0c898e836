#pragma once

#include "tests/soak/CallerConnection.h"
#include "tests/soak/Record.h"

#include <functional>
#include <string>
#include <vector>

namespace waxwing::soak {

/** A key and the customer that it belongs to. */
struct CustomerKey {
    std::string customer;
    std::string key;
};

/** The customers' keys of a run. */
struct LoadKeys {
    CustomerKey school{"school", "key-of-school"};
    CustomerKey firm{"firm", "key-of-firm"};
    /** The key that is taken away meanwhile. */
    CustomerKey secondOfFirm{"firm", "second-key-of-firm"};
    /** Of the customer that has a quota. */
    CustomerKey limited{"small", "key-of-small"};

    std::vector<std::string> all() const;
};

/** Callers of all nodes: kept connections, pipelining, downloads that are read slowly, and a customer beyond its quota.
 */
class Load
{
public:
    /** @pre @p mesh and @p record outlive the load. */
    Load(testing::Mesh &mesh, int nodes, RunRecord &record);

    void start();
    /** Lets every caller finish its current requests. */
    void stop();
    /** Sends one request of each kind to a node. Returns true if all were served. */
    bool probe(int node);

private:
    struct Request {
        Observation observation;
        std::string bytes;
    };

    Request makeRequest(int node, const std::string &method, const std::string &path, const CustomerKey &key);
    /** Sends requests on one connection without waiting, and reads their responses in order. */
    void exchange(CallerConnection &connection, std::vector<Request> requests, Millis pauseBetweenReads = Millis(0));
    static void take(const tl::expected<CallerResponse, ReadFailure> &response, Observation &observation);
    void run(const std::function<void()> &step);
    void startKept(int node);
    void startPipelining(int node);
    void startDownloads(int node);
    void startLimited();

    testing::Mesh &mesh_;
    int nodes_;
    RunRecord &record_;
    LoadKeys keys_;
    bool stopping_ = false;
    int running_ = 0;
    int nextId_ = 0;
    int nextPipeline_ = 0;
};

} // namespace waxwing::soak
