#pragma once

#include "tests/soak/Record.h"

#include <set>
#include <utility>

namespace waxwing::soak {

/** Brings the faults of a schedule about in a mesh and notes what the checks need to know of them. */
class Injector
{
public:
    /** @pre @p mesh and @p record outlive the injector, and the mesh has proxies for links and store. */
    Injector(testing::Mesh &mesh, int nodes, RunRecord &record);

    /** Returns when the last fault has ended. */
    void run(const std::vector<Fault> &faults);
    /** Notes processes that ended although this object did not end them. */
    void watchProcesses();
    /** Returns the customers of the configuration, with or without the key that is taken away. */
    static nlohmann::json customers(bool withSecondKey, bool withSpare = false);

    /** The time for a graceful stop that the nodes are given. */
    static constexpr std::chrono::seconds grace{5};
    /** The time after which a key that was taken away is accepted nowhere. */
    static constexpr Millis revokeBound{3000};

private:
    using Target = std::pair<Resource, int>;

    void bring(const Fault &fault);
    void bringToLink(const Fault &fault);
    void bringToNode(const Fault &fault);
    void endOrPauseNode(const Fault &fault);
    void bringToStore(const Fault &fault);
    void bringToServer(const Fault &fault);
    void stopNode(const Fault &fault);
    void takeKeyAway(const Fault &fault);
    void setServerMode(const Fault &fault, const nlohmann::json &mode);
    void noteIfEnded(Resource resource, int index, testing::Process &process);
    bool isBusy(const Fault &fault) const;

    testing::Mesh &mesh_;
    int nodes_;
    RunRecord &record_;
    std::vector<Fault> current_;
    /** Processes that were ended on purpose, or whose end is noted. */
    std::set<Target> down_;
    std::uint64_t configVersion_ = 1;
};

} // namespace waxwing::soak
