#include "include/floor/HomeFloor.h"

#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace waxwing;

namespace {

const SteadyTime start = SteadyTime(std::chrono::hours(1));

/** The platform's store with one table. Accepts conditional updates only. */
struct Store {
    PledgeTable table;

    bool update(const PledgeTable &proposal)
    {
        if (proposal.version != table.version) {
            return false;
        }
        table = proposal;
        ++table.version;
        return true;
    }
};

/** One home of the enumeration: its floor decisions and its servers. */
struct Home {
    Home(const NodeRef &ref, const HomeFloor::InServiceOf &inServiceOf)
        : self(ref)
        , floor(ref, inServiceOf)
    { }
    NodeRef self;
    HomeFloor floor;
    std::uint32_t servers = 0;
    std::uint32_t inService = 0;
    bool up = true;
    /** A write in progress: its proposal, whether it has arrived at the store, and whether the store accepted it. */
    std::optional<PledgeTable> sent;
    bool arrived = false;
    bool accepted = false;
};

/**
 * Several homes and a store. Each step is one of: send a proposal, deliver it to the store, deliver the reply, lose the
 * reply, eject a server, return a server, mark the home as down for the others, read the table, mark the home as up.
 */
struct World {
    /** Worlds are copied, so the homes' callbacks refer to the World that acts. */
    static inline World *current = nullptr;

    static constexpr int actionsPerHome = 9;

    World(std::uint32_t required, const std::vector<std::uint32_t> &servers)
    {
        current = this;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            const auto view = [](const NodeRef &ref) -> std::optional<std::uint32_t> {
                for (const Home &home : current->homes) {
                    if (home.self == ref) {
                        return home.up ? std::optional<std::uint32_t>(home.inService) : std::nullopt;
                    }
                }
                return std::nullopt;
            };
            homes.emplace_back(NodeRef{std::string(1, static_cast<char>('a' + static_cast<int>(i))), 1}, view);
        }
        for (std::size_t i = 0; i < homes.size(); ++i) {
            homes[i].servers = servers[i];
            homes[i].inService = servers[i];
            homes[i].floor.setFloor(CapacityFloor{required, 0.0});
            refresh(homes[i]);
        }
    }

    static void refresh(Home &home)
    {
        home.floor.setCapacity(home.servers, home.inService, start);
    }

    int actions() const
    {
        return actionsPerHome * static_cast<int>(homes.size());
    }

    std::uint32_t total() const
    {
        std::uint32_t sum = 0;
        for (const Home &home : homes) {
            sum += home.inService;
        }
        return sum;
    }

    /** Returns false if the action is not possible now. */
    bool act(int action)
    {
        current = this;
        Home &home = homes[static_cast<std::size_t>(action / actionsPerHome)];
        switch (action % actionsPerHome) {
        case 0:
            if (home.sent) {
                return false;
            }
            home.sent = home.floor.proposal();
            home.arrived = false;
            return home.sent.has_value();
        case 1:
            if (!home.sent || home.arrived) {
                return false;
            }
            home.accepted = store.update(*home.sent);
            home.arrived = true;
            return true;
        case 2:
            if (!home.sent || !home.arrived) {
                return false;
            }
            if (home.accepted) {
                home.floor.accepted(home.sent->version + 1);
            } else {
                home.floor.rejected(store.table);
            }
            home.sent.reset();
            return true;
        case 3:
            if (!home.sent) {
                return false;
            }
            // The reply is lost. The write may or may not have taken effect.
            home.floor.rejected(std::nullopt);
            home.sent.reset();
            return true;
        case 4:
            if (!home.floor.mayEject()) {
                return false;
            }
            --home.inService;
            refresh(home);
            return true;
        case 5:
            if (home.inService == home.servers) {
                return false;
            }
            ++home.inService;
            refresh(home);
            return true;
        case 6:
            // Cut off or paused: other homes consider it departed although its servers still serve.
            if (!home.up) {
                return false;
            }
            home.up = false;
            return true;
        case 7:
            if (home.sent || home.floor.knownTable().version == store.table.version) {
                return false;
            }
            home.floor.updateTable(store.table);
            return true;
        default:
            if (home.up) {
                return false;
            }
            home.up = true;
            return true;
        }
    }

    std::string key()
    {
        current = this;
        std::string out = store.table.json();
        for (const Home &home : homes) {
            out += "|" + std::to_string(home.inService) + "," + std::to_string(home.up) + ","
                   + std::to_string(home.floor.pledge()) + "," + std::to_string(home.floor.mustKeep()) + ","
                   + std::to_string(home.floor.mayEject()) + "," + home.floor.knownTable().json()
                   + std::to_string(home.floor.knownTable().version == store.table.version)
                   + (home.sent ? home.sent->json() + std::to_string(home.sent->version == store.table.version) : "-")
                   + std::to_string(home.arrived) + std::to_string(home.accepted);
        }
        return out;
    }

    Store store;
    std::vector<Home> homes;
};

/** Result of an exhaustive search. */
struct SearchResult {
    std::size_t states = 0;
    int depth = 0;
    std::uint32_t minInService = 0;
    bool complete = false;
};

/** Visits every state that can be reached from @p from, breadth first, up to @p maxStates states. */
SearchResult searchStates(const World &from, std::uint32_t required, std::size_t maxStates)
{
    std::set<std::string> seen;
    std::vector<World> frontier = {from};
    SearchResult result;
    result.minInService = from.total();
    for (; !frontier.empty() && seen.size() < maxStates; ++result.depth) {
        std::vector<World> next;
        for (const World &one : frontier) {
            for (int action = 0; action < one.actions(); ++action) {
                World world = one;
                if (!world.act(action)) {
                    continue;
                }
                result.minInService = std::min(result.minInService, world.total());
                REQUIRE(world.total() >= required);
                if (seen.insert(world.key()).second) {
                    next.push_back(std::move(world));
                }
            }
        }
        frontier = std::move(next);
    }
    result.states = seen.size();
    result.complete = frontier.empty();
    return result;
}

/** Lets every home register and reach its share, without faults. */
void registerAll(World &world)
{
    constexpr int rounds = 12;
    for (int round = 0; round < rounds; ++round) {
        for (int home = 0; home * World::actionsPerHome < world.actions(); ++home) {
            for (const int step : {7, 0, 1, 2}) {
                world.act(home * World::actionsPerHome + step);
            }
        }
    }
}

} // namespace

TEST_CASE("floor, every interleaving of three homes and four servers, is never violated")
{
    // Three homes eject unhealthy servers and coordinate their pledges only through the store. Writes arrive late,
    // replies are lost, a home is paused and considered departed, another one absorbs its pledge, and then it resumes
    // and continues to eject. In any order, at least two of the four servers must stay in service.
    constexpr std::uint32_t required = 2;
    World fresh(required, {2, 1, 1});
    World registered = fresh;
    registerAll(registered);
    const SearchResult fromRegistered = searchStates(registered, required, 30000);
    const SearchResult fromFresh = searchStates(fresh, required, 10000);
    for (const SearchResult &result : {fromRegistered, fromFresh}) {
        MESSAGE("states " << result.states << ", steps deep " << result.depth << ", complete " << result.complete
                          << ", least in service " << result.minInService);
    }
    CHECK(fromRegistered.minInService == required);
}

TEST_CASE("floor, every interleaving of two homes and three servers, is never violated")
{
    constexpr std::uint32_t required = 2;
    World registered(required, {2, 1});
    registerAll(registered);
    const SearchResult result = searchStates(registered, required, 200000);
    MESSAGE("states " << result.states << ", steps deep " << result.depth << ", complete " << result.complete
                      << ", least in service " << result.minInService);
    CHECK(result.minInService == required);
}

TEST_CASE("floor, random long runs of larger homes, is never violated and most ejections are allowed")
{
    constexpr int runs = 300;
    std::uint64_t ejected = 0;
    std::uint64_t kept = 0;
    for (int seed = 0; seed < runs; ++seed) {
        std::mt19937 random(static_cast<unsigned>(seed));
        std::vector<std::uint32_t> servers;
        constexpr int homeCount = 3;
        servers.reserve(homeCount);
        for (int i = 0; i < homeCount; ++i) {
            servers.push_back(2 + static_cast<std::uint32_t>(random() % 6));
        }
        const std::uint32_t all = servers[0] + servers[1] + servers[2];
        const auto required = 1 + static_cast<std::uint32_t>(random() % all);
        World world(required, servers);
        for (int step = 0; step < 2000; ++step) {
            const int action = static_cast<int>(random() % static_cast<unsigned>(world.actions()));
            const bool acted = world.act(action);
            if (action % World::actionsPerHome == 4) {
                (acted ? ejected : kept) += 1;
            }
            INFO("seed " << seed << " step " << step);
            REQUIRE(world.total() >= std::min(required, all));
        }
    }
    CHECK(ejected > 1000);
    MESSAGE("ejections allowed " << ejected << ", not allowed " << kept);
}

TEST_CASE("floor, home that never reached the store, ejects nothing")
{
    HomeFloor floor(NodeRef{"a", 1}, [](const NodeRef &) { return std::nullopt; });
    floor.setFloor(CapacityFloor{1, 0.0});
    floor.setCapacity(5, 5, start);
    CHECK_FALSE(floor.mayEject());
    floor.proposal();
    floor.rejected(std::nullopt);
    CHECK_FALSE(floor.mayEject());
}

TEST_CASE("floor, crashed servers, count before any ejection")
{
    HomeFloor floor(NodeRef{"a", 1}, [](const NodeRef &) { return std::nullopt; });
    floor.setFloor(CapacityFloor{3, 0.0});
    floor.setCapacity(4, 4, start);
    Store store;
    for (int i = 0; i < 4; ++i) {
        const auto proposal = floor.proposal();
        if (proposal && store.update(*proposal)) {
            floor.accepted(store.table.version);
        }
    }
    CHECK(floor.mayEject());
    floor.setCapacity(3, 3, start);
    CHECK_FALSE(floor.mayEject());
}

TEST_CASE("pledge table, written and parsed, is the same and malformed text is rejected")
{
    PledgeTable table;
    table.set(Pledge{{"a", 7}, 2, 3});
    const auto parsed = PledgeTable::parse(4, table.json());
    REQUIRE(parsed);
    CHECK(parsed->find({"a", 7})->pledge == 2);
    CHECK_FALSE(PledgeTable::parse(1, "{}"));
    CHECK_FALSE(PledgeTable::parse(1, "nonsense"));
}
