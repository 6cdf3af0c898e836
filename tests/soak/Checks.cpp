#include "tests/soak/Checks.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace waxwing::soak {

namespace {

using testing::Execution;

/** The exit of a node is noticed some time after it. */
constexpr Millis exitMargin{100};
/** A 504 this long before its request's timeout was not caused by the timeout. */
constexpr Millis earlyMargin{300};
constexpr unsigned gatewayTimeout = 504;
/** Time that a node needs to listen after its start, on a machine that other work shares. */
constexpr Millis startMargin{3000};
/** Statuses by which a node says that a request has not run and never will. */
constexpr std::array notRunStatuses = {400U, 401U, 404U, 413U, 421U, 422U, 429U, 431U, 503U};

std::map<std::string, std::vector<Execution>> executionsById(const RunRecord &record)
{
    std::map<std::string, std::vector<Execution>> out;
    for (const Execution &execution : record.executions) {
        out[execution.id].push_back(execution);
    }
    return out;
}

class AtMostOnce : public Check
{
public:
    std::string name() const override
    {
        return "at-most-once";
    }

    std::vector<Finding> judge(const RunRecord &record) const override
    {
        std::vector<Finding> out;
        const auto executions = executionsById(record);
        for (const Observation &one : record.observations) {
            const auto found = executions.find(one.id);
            if (!one.idempotent && found != executions.end() && found->second.size() > 1) {
                out.push_back(finding("not idempotent, but ran " + std::to_string(found->second.size()) + " times",
                                      one.id, found->second.back().at));
            }
        }
        return out;
    }
};

class NotRunIsTrue : public Check
{
public:
    std::string name() const override
    {
        return "not-run-is-true";
    }

    std::vector<Finding> judge(const RunRecord &record) const override
    {
        std::vector<Finding> out;
        const auto executions = executionsById(record);
        for (const Observation &one : record.observations) {
            const bool claimsNotRun =
                one.behindClose
                || std::find(notRunStatuses.begin(), notRunStatuses.end(), one.status) != notRunStatuses.end();
            const auto found = executions.find(one.id);
            if (!one.idempotent && claimsNotRun && found != executions.end()) {
                const std::string claim =
                    one.behindClose ? "the connection was closed before it" : "status " + std::to_string(one.status);
                out.push_back(finding(claim + ", but it ran", one.id, found->second.front().at));
            }
        }
        return out;
    }
};

class OwnWholeResponse : public Check
{
public:
    std::string name() const override
    {
        return "own-whole-response";
    }

    std::vector<Finding> judge(const RunRecord &record) const override
    {
        constexpr unsigned ok = 200;
        std::vector<Finding> out;
        for (const Observation &one : record.observations) {
            const bool named = one.respondedId.empty() || one.respondedId == one.id;
            if (!named || (one.status == ok && one.body != one.expectedBody)) {
                out.push_back(finding("response of " + std::to_string(one.body.size()) + " bytes names "
                                          + one.respondedId + ": " + one.body.substr(0, 60),
                                      one.id, one.ended));
            }
        }
        return out;
    }
};

class PipelineOrder : public Check
{
public:
    std::string name() const override
    {
        return "pipeline-order";
    }

    std::vector<Finding> judge(const RunRecord &record) const override
    {
        std::map<std::string, int> pipelines;
        for (const Observation &one : record.observations) {
            pipelines[one.id] = one.pipeline;
        }
        std::vector<Finding> out;
        for (const Observation &one : record.observations) {
            const auto named = pipelines.find(one.respondedId);
            const bool isOfBatch = one.pipeline != 0 && named != pipelines.end() && named->second == one.pipeline;
            if (isOfBatch && one.respondedId != one.id) {
                out.push_back(
                    finding("got the response to " + one.respondedId + " of the same batch", one.id, one.ended));
            }
        }
        return out;
    }
};

class KeysAndCustomers : public Check
{
public:
    std::string name() const override
    {
        return "keys-and-customers";
    }

    std::vector<Finding> judge(const RunRecord &record) const override
    {
        std::vector<Finding> out;
        const auto executions = executionsById(record);
        for (const Observation &one : record.observations) {
            const auto found = executions.find(one.id);
            for (const Execution &execution : found == executions.end() ? std::vector<Execution>() : found->second) {
                if (execution.customer != one.customer) {
                    const bool sawKey = execution.customer == "!";
                    out.push_back(finding(sawKey ? "its server saw a key"
                                                 : "its server was told customer \"" + execution.customer
                                                       + "\" in place of \"" + one.customer + "\"",
                                          one.id, execution.at));
                }
                if (wasTaken(record, one)) {
                    out.push_back(finding("its key had been taken away", one.id, execution.at));
                }
            }
        }
        for (const std::string &key : record.keys) {
            if (record.output.find(key) != std::string::npos) {
                out.push_back(finding("a log holds the key", key, Millis(0)));
            }
        }
        return out;
    }

private:
    static bool wasTaken(const RunRecord &record, const Observation &one)
    {
        return std::any_of(record.takenKeys.begin(), record.takenKeys.end(), [&one](const TakenKey &taken) {
            return taken.key == one.key && one.sent >= taken.from && one.ended <= taken.until;
        });
    }
};

class EachIsAnswered : public Check
{
public:
    std::string name() const override
    {
        return "each-is-answered";
    }

    std::vector<Finding> judge(const RunRecord &record) const override
    {
        std::vector<Finding> out;
        for (const Observation &one : record.observations) {
            if (one.status == 0 && !one.behindClose && !isInOutage(record, one)) {
                const std::string how = one.brokenOff ? "its connection was closed" : "the time ran out";
                out.push_back(finding("no response from n" + std::to_string(one.node) + " within "
                                          + std::to_string((one.ended - one.sent).count())
                                          + " ms, though the node was not stopped: " + how,
                                      one.id, one.ended));
            }
        }
        return out;
    }

private:
    static bool isInOutage(const RunRecord &record, const Observation &one)
    {
        return std::any_of(record.outages.begin(), record.outages.end(), [&one](const Outage &outage) {
            return outage.node == one.node && one.sent <= outage.until + startMargin && one.ended >= outage.from;
        });
    }
};

class QuotaHolds : public Check
{
public:
    std::string name() const override
    {
        return "quota";
    }

    std::vector<Finding> judge(const RunRecord &record) const override
    {
        const QuotaBound &quota = record.quota;
        std::map<std::string, Millis> first;
        for (const Execution &execution : record.executions) {
            if (execution.customer == quota.customer) {
                const auto known = first.emplace(execution.id, execution.at).first;
                known->second = std::min(known->second, execution.at);
            }
        }
        std::vector<Millis> times;
        times.reserve(first.size());
        for (const auto &[id, at] : first) {
            times.push_back(at);
        }
        std::sort(times.begin(), times.end());
        const double seconds = static_cast<double>(quota.window.count()) / 1000.0;
        const double bound = (quota.ratePerSecond * seconds + quota.burst) * (1 + quota.over) + quota.slack;
        std::size_t most = 0;
        Millis at{0};
        for (auto begin = times.begin(); begin != times.end(); ++begin) {
            const auto end = std::lower_bound(begin, times.end(), *begin + quota.window);
            if (static_cast<std::size_t>(end - begin) > most) {
                most = static_cast<std::size_t>(end - begin);
                at = *begin;
            }
        }
        if (static_cast<double>(most) > bound) {
            return {finding(std::to_string(most) + " requests ran in one window, bound " + std::to_string(bound),
                            quota.customer, at)};
        }
        return {};
    }
};

class ServedAgain : public Check
{
public:
    std::string name() const override
    {
        return "served-again";
    }

    std::vector<Finding> judge(const RunRecord &record) const override
    {
        std::vector<Finding> out;
        for (std::size_t node = 0; node < record.servedAgain.size(); ++node) {
            const Millis at = record.servedAgain[node];
            if (at == Millis(0) || at > record.lastFaultEnded + recoveryBound) {
                out.push_back(finding("does not serve every kind of request within "
                                          + std::to_string(recoveryBound.count()) + " ms of the last fault",
                                      "n" + std::to_string(node), record.lastFaultEnded));
            }
        }
        return out;
    }
};

class NoProcessEnds : public Check
{
public:
    std::string name() const override
    {
        return "no-process-ends";
    }

    std::vector<Finding> judge(const RunRecord &record) const override
    {
        std::vector<Finding> out;
        for (const UnexpectedEnd &end : record.ends) {
            out.push_back(finding("ended by itself with code " + std::to_string(end.exitCode) + ": " + end.output,
                                  end.process, end.at));
        }
        return out;
    }
};

class StopIsGraceful : public Check
{
public:
    std::string name() const override
    {
        return "graceful-stop";
    }

    std::vector<Finding> judge(const RunRecord &record) const override
    {
        std::vector<Finding> out;
        for (const StopRecord &stop : record.stops) {
            if (stop.exitCode != 0) {
                out.push_back(finding("exit code " + std::to_string(stop.exitCode) + " after SIGTERM",
                                      "n" + std::to_string(stop.node), stop.at));
            }
            for (const Observation &one : record.observations) {
                const bool inProgress = one.node == stop.node && one.sent < stop.at && one.ended >= stop.at
                                        && one.ended <= stop.exited + exitMargin;
                const bool isEarly = one.ended - one.sent < requestTimeout - earlyMargin;
                const bool givenUp = one.status == gatewayTimeout && isEarly;
                if (inProgress && (givenUp || (one.brokenOff && !one.behindClose))) {
                    out.push_back(
                        finding("was broken off by the stop of its node, status " + std::to_string(one.status), one.id,
                                one.ended));
                }
            }
        }
        return out;
    }
};

} // namespace

Finding Check::finding(const std::string &what, const std::string &subject, Millis at) const
{
    return Finding{name(), what, subject, at};
}

std::vector<std::unique_ptr<Check>> allChecks()
{
    std::vector<std::unique_ptr<Check>> checks;
    checks.push_back(std::make_unique<AtMostOnce>());
    checks.push_back(std::make_unique<NotRunIsTrue>());
    checks.push_back(std::make_unique<OwnWholeResponse>());
    checks.push_back(std::make_unique<PipelineOrder>());
    checks.push_back(std::make_unique<KeysAndCustomers>());
    checks.push_back(std::make_unique<EachIsAnswered>());
    checks.push_back(std::make_unique<QuotaHolds>());
    checks.push_back(std::make_unique<ServedAgain>());
    checks.push_back(std::make_unique<NoProcessEnds>());
    checks.push_back(std::make_unique<StopIsGraceful>());
    return checks;
}

} // namespace waxwing::soak
