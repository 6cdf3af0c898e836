#include "include/claim/ClaimTable.h"
#include "tests/support/ManualClock.h"

#include <doctest/doctest.h>
#include <memory>
#include <random>

using namespace waxwing;
using waxwing::testing::ManualClock;

namespace {

constexpr std::uint64_t digest = 7;

const SuccessorCheck named = [](const NodeRef &) { return true; };

struct OwnerFixture {
    ManualClock clock;
    NodeRef self{"n1", 42};
    ClaimLimits limits{4, 1000, std::chrono::minutes(10)};
    TicketIssuer issuer{self, clock};
    ClaimTable table{self, clock, limits, named};

    ClaimDecision begin(const Ticket &ticket)
    {
        return table.begin(ticket, issuer.age(), digest);
    }
};

ClaimResult ran(const std::string &body)
{
    return ClaimResult{Outcome::Ran, HttpResponse{200, {}, body}};
}

} // namespace

TEST_CASE("ticket, formatted and parsed, is unchanged")
{
    const Ticket ticket{{"rack-3.n1", 0xabcdef}, Millis(123456), 99};
    const auto parsed = Ticket::parse(ticket.text());
    REQUIRE(parsed);
    CHECK(parsed->owner == ticket.owner);
    CHECK(parsed->issuedAt == ticket.issuedAt);
    CHECK(parsed->sequence == ticket.sequence);
    for (const char *bad : {"", "wx1.", "wx1.n1.1.2", "wx1.n1.x.1.1", "wx2.n1.1.1.1", "wx1..1.1.1", "wx1.a b.1.1.1"}) {
        INFO(bad);
        CHECK_FALSE(Ticket::parse(bad));
    }
}

TEST_CASE_FIXTURE(OwnerFixture, "claim, second attempt while the first runs and after it finished, never starts again")
{
    const Ticket ticket = issuer.issue();
    CHECK(begin(ticket) == ClaimDecision::Start);
    CHECK(begin(ticket) == ClaimDecision::Running);
    table.finish(ticket, ran("seat 4"));
    CHECK(begin(ticket) == ClaimDecision::Replay);
    CHECK(table.resultOf(ticket)->response.body == "seat 4");
    CHECK(table.begin(ticket, issuer.age(), digest + 1) == ClaimDecision::OtherRequest);
}

TEST_CASE_FIXTURE(OwnerFixture, "claim, finished with an unknown outcome, stays unknown")
{
    const Ticket ticket = issuer.issue();
    begin(ticket);
    table.finish(ticket, ClaimResult{Outcome::Unknown, {}});
    CHECK(begin(ticket) == ClaimDecision::OutcomeUnknown);
}

TEST_CASE_FIXTURE(OwnerFixture, "claim, finished as not run, may start again")
{
    const Ticket ticket = issuer.issue();
    begin(ticket);
    table.finish(ticket, ClaimResult{Outcome::NotRun, {}});
    CHECK(begin(ticket) == ClaimDecision::Start);
}

TEST_CASE_FIXTURE(OwnerFixture, "claim, resent after its entry was removed, is refused as expired")
{
    // Guards against a second execution of a booking that is resent after hours. The owner has removed the claim by
    // then, so it must refuse the ticket because of the issue time in the ticket itself.
    const Ticket ticket = issuer.issue();
    begin(ticket);
    table.finish(ticket, ran("seat"));
    clock.advance(limits.validity);
    table.expire();
    CHECK(table.size() == 0);
    CHECK(begin(ticket) == ClaimDecision::Expired);
}

TEST_CASE_FIXTURE(OwnerFixture, "claim table, full, refuses new claims and evicts none")
{
    std::vector<Ticket> tickets;
    for (std::size_t i = 0; i < limits.entries; ++i) {
        tickets.push_back(issuer.issue());
        CHECK(begin(tickets.back()) == ClaimDecision::Start);
    }
    CHECK(begin(issuer.issue()) == ClaimDecision::Full);
    CHECK(begin(tickets.front()) == ClaimDecision::Running);
}

TEST_CASE_FIXTURE(OwnerFixture, "claim, response above the byte limit, is recorded as run without its response")
{
    const Ticket ticket = issuer.issue();
    begin(ticket);
    table.finish(ticket, ran(std::string(limits.responseBytes + 1, 'x')));
    CHECK(begin(ticket) == ClaimDecision::ResponseNotStored);
}

TEST_CASE_FIXTURE(OwnerFixture, "ticket, of another incarnation or issued in the future, is not this owner's")
{
    CHECK(begin(Ticket{{"n1", 41}, Millis(0), 1}) == ClaimDecision::NotOwner);
    CHECK(begin(Ticket{self, std::chrono::hours(5), 1}) == ClaimDecision::NotOwner);
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "handover, used and unused and expired tickets, get the owner's decisions from the successor")
{
    // A node is replaced while callers still hold its tickets. The successor must replay the responses of requests that
    // ran, start requests with unused tickets, and refuse tickets so old that the stopped node may have removed their
    // claims.
    const Ticket old = issuer.issue();
    clock.advance(limits.validity);
    const Ticket used = issuer.issue();
    const Ticket unused = issuer.issue();
    begin(used);
    table.finish(used, ran("seat 9"));
    table.stopClaiming();
    CHECK(begin(issuer.issue()) == ClaimDecision::Stopping);

    const NodeRef next{"n2", 50};
    ManualClock nextClock;
    TicketIssuer nextIssuer(next, nextClock);
    ClaimTable successor(next, nextClock, limits, named);
    successor.adopt(table.handOver(issuer.age()));
    CHECK(successor.begin(used, nextIssuer.age(), digest) == ClaimDecision::Replay);
    CHECK(successor.begin(unused, nextIssuer.age(), digest) == ClaimDecision::Start);
    CHECK(successor.begin(old, nextIssuer.age(), digest) == ClaimDecision::Expired);
}

TEST_CASE_FIXTURE(OwnerFixture, "handover, larger than one message, takes effect only when it is complete")
{
    // The claims of a stopping node with many stored responses don't fit into one message, and none may be lost. Guards
    // against a successor that received only some of the messages and runs a request again whose claim is in another.
    ClaimTable many(self, clock, ClaimLimits{1000, 1000000, std::chrono::minutes(10)}, named);
    std::vector<Ticket> used;
    for (int i = 0; i < 40; ++i) {
        used.push_back(issuer.issue());
        many.begin(used.back(), issuer.age(), digest);
        many.finish(used.back(), ran(std::string(400, 'x')));
    }
    many.stopClaiming();
    const std::vector<ClaimHandover> parts = splitHandover(many.handOver(issuer.age()), 2000);
    CHECK(parts.size() > 5);
    const NodeRef next{"n2", 50};
    TicketIssuer nextIssuer(next, clock);
    ClaimTable successor(next, clock, ClaimLimits{1000, 1000000, std::chrono::minutes(10)}, named);
    const Ticket unused = issuer.issue();
    for (const ClaimHandover &part : parts) {
        CHECK(successor.begin(unused, nextIssuer.age(), digest) == ClaimDecision::NotOwner);
        CHECK(encodeMessage(part).size() < 4000);
        successor.adopt(part);
    }
    for (const Ticket &ticket : used) {
        CHECK(successor.begin(ticket, nextIssuer.age(), digest) == ClaimDecision::Replay);
    }
    CHECK(successor.begin(unused, nextIssuer.age(), digest) == ClaimDecision::Start);
}

TEST_CASE_FIXTURE(OwnerFixture, "handover, its last acknowledgement lost, lets an unused ticket start at one node only")
{
    // Guards against a booking that runs twice: the first node has adopted the owner, the owner didn't hear of it and
    // named another one.
    const Ticket unused = issuer.issue();
    const Ticket used = issuer.issue();
    begin(used);
    table.finish(used, ran("seat 9"));
    table.stopClaiming();
    const ClaimHandover handover = table.handOver(issuer.age());
    const NodeRef unheard{"n2", 50};
    const NodeRef successor{"n3", 51};
    std::map<NodeRef, NodeRef> records;
    const auto tableOf = [&](const NodeRef &node) {
        return ClaimTable(node, clock, limits, [&records, node](const NodeRef &owner) {
            const auto found = records.find(owner);
            return found != records.end() && found->second == node;
        });
    };
    ClaimTable first = tableOf(unheard);
    ClaimTable second = tableOf(successor);
    first.adopt(handover);
    CHECK(first.begin(unused, Millis(0), digest) == ClaimDecision::NotOwner);
    second.adopt(handover);
    records[self] = successor;
    CHECK(first.begin(unused, Millis(0), digest) == ClaimDecision::NotOwner);
    CHECK(second.begin(unused, Millis(0), digest) == ClaimDecision::Start);
    CHECK(second.begin(used, Millis(0), digest) == ClaimDecision::Replay);

    // Nor does the first node pass the owner on when it stops itself.
    first.stopClaiming();
    const ClaimHandover further = first.handOver(Millis(0));
    CHECK(std::none_of(further.owners.begin(), further.owners.end(),
                       [&](const ClaimOwner &owner) { return owner.ref == self; }));
}

TEST_CASE("claims, random schedules of resends, kills, handovers and lost responses, run each key at most once")
{
    // Callers resend through any node while nodes are killed, stopped gracefully, or suspended between the claim and
    // the execution; responses and acknowledgements of handovers are lost at random. A suspended node resumes and
    // executes the request after the same ticket was resent, also through other nodes. Runs 600 seeded schedules and
    // counts every execution.
    constexpr int schedules = 600;
    int runs = 0;
    int refusedNew = 0;
    for (int seed = 0; seed < schedules; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        ManualClock clock;
        struct Owner {
            NodeRef ref;
            std::unique_ptr<TicketIssuer> issuer;
            std::unique_ptr<ClaimTable> table;
            bool dead = false;
        };
        std::vector<Owner> owners;
        std::map<NodeRef, NodeRef> successors;
        const auto holderOf = [&successors](NodeRef holder) {
            while (successors.count(holder) != 0) {
                holder = successors[holder];
            }
            return holder;
        };
        std::uint64_t incarnation = 1;
        const auto addOwner = [&](const std::string &id) {
            Owner owner{{id, incarnation++}, nullptr, nullptr, false};
            owner.issuer = std::make_unique<TicketIssuer>(owner.ref, clock);
            owner.table = std::make_unique<ClaimTable>(
                owner.ref, clock, ClaimLimits{1000, 10000, std::chrono::minutes(1)},
                [&holderOf, node = owner.ref](const NodeRef &stopped) { return holderOf(stopped) == node; });
            owners.push_back(std::move(owner));
        };
        for (const char *id : {"a", "b", "c"}) {
            addOwner(id);
        }
        const auto live = [&]() -> Owner & {
            while (true) {
                Owner &one = owners[random() % owners.size()];
                if (!one.dead) {
                    return one;
                }
            }
        };
        std::map<std::string, int> executions;
        std::map<std::string, Outcome> reported;
        std::vector<Ticket> tickets;
        struct Suspended {
            std::size_t owner;
            Ticket ticket;
        };
        std::vector<Suspended> suspended;
        for (int step = 0; step < 200; ++step) {
            clock.advance(Millis(random() % 2000));
            const auto kind = random() % 20;
            if (kind == 0) {
                const std::string id = "x" + std::to_string(step);
                Owner &killed = live();
                killed.dead = true;
                addOwner(id);
            } else if (kind == 1) {
                Owner &leaving = live();
                leaving.table->stopClaiming();
                if (leaving.table->running() > 0) {
                    leaving.dead = true;
                    addOwner("y" + std::to_string(step));
                    continue;
                }
                const ClaimHandover handover = leaving.table->handOver(leaving.issuer->age());
                leaving.dead = true;
                addOwner("z" + std::to_string(step));
                if (random() % 3 == 0) {
                    // Its acknowledgement is lost, so the owner names another node.
                    live().table->adopt(handover);
                }
                Owner &next = live();
                next.table->adopt(handover);
                for (const ClaimOwner &owner : handover.owners) {
                    successors[owner.ref] = next.ref;
                }
            } else if (kind < 6) {
                tickets.push_back(live().issuer->issue());
            } else if (kind < 8 && !suspended.empty()) {
                const Suspended resumed = suspended.back();
                suspended.pop_back();
                Owner &owner = owners[resumed.owner];
                if (!owner.dead) {
                    ++executions[resumed.ticket.text()];
                    owner.table->finish(resumed.ticket,
                                        ClaimResult{random() % 4 == 0 ? Outcome::Unknown : Outcome::Ran, {}});
                }
            } else if (!tickets.empty()) {
                const Ticket ticket = tickets[random() % tickets.size()];
                // A third arrives at a node that may have adopted the owner without being its successor.
                const NodeRef holder = random() % 3 == 0 ? live().ref : holderOf(ticket.owner);
                const auto at =
                    std::find_if(owners.begin(), owners.end(), [&](const Owner &one) { return one.ref == holder; });
                if (at->dead) {
                    refusedNew += executions.count(ticket.text()) == 0 ? 1 : 0;
                    reported[ticket.text()] = Outcome::Unknown;
                    continue;
                }
                const ClaimDecision decision = at->table->begin(ticket, at->issuer->age(), digest);
                if (decision != ClaimDecision::Start) {
                    continue;
                }
                const auto end = random() % 5;
                if (end == 0) {
                    // The owner is suspended before the execution; the caller times out and gets "unknown".
                    reported[ticket.text()] = Outcome::Unknown;
                    suspended.push_back(Suspended{static_cast<std::size_t>(at - owners.begin()), ticket});
                } else if (end == 1) {
                    at->table->finish(ticket, ClaimResult{Outcome::NotRun, {}});
                    reported[ticket.text()] = Outcome::NotRun;
                } else {
                    ++executions[ticket.text()];
                    reported[ticket.text()] = end == 2 ? Outcome::Unknown : Outcome::Ran;
                    at->table->finish(ticket, ClaimResult{reported[ticket.text()], {}});
                }
            }
        }
        for (const auto &entry : executions) {
            const std::string &key = entry.first;
            INFO("seed " << seed << " ticket " << key);
            CHECK(entry.second == 1);
            ++runs;
            CHECK(reported[key] != Outcome::NotRun);
        }
    }
    CHECK(runs > schedules);
    MESSAGE("runs " << runs << ", attempts refused because the owner was dead " << refusedNew);
}
