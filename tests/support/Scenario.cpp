#include "tests/support/Scenario.h"

#include "include/base/DurationText.h"
#include "include/base/JsonReader.h"
#include "tests/support/HomeRig.h"

#include <memory>
#include <sstream>

namespace waxwing::testing {

namespace {

struct Token {
    std::string text;
    int line = 0;
    int column = 0;
};

using Line = std::vector<Token>;

struct SyntaxError {
    Token at;
    std::string message;
};

[[noreturn]] void throwAt(const Token &at, const std::string &message)
{
    throw SyntaxError{at, message};
}

std::vector<Line> tokenize(const std::string &text)
{
    std::vector<Line> lines;
    std::istringstream in(text);
    std::string raw;
    for (int number = 1; std::getline(in, raw); ++number) {
        Line line;
        const std::string code = raw.substr(0, raw.find('#'));
        std::size_t at = 0;
        while ((at = code.find_first_not_of(" \t", at)) != std::string::npos) {
            const std::size_t end = std::min(code.find_first_of(" \t", at), code.size());
            line.push_back(Token{code.substr(at, end - at), number, static_cast<int>(at) + 1});
            at = end;
        }
        if (!line.empty()) {
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

/** Reads the tokens of one line in order. A missing or wrong token is an error at its position. */
class LineReader
{
public:
    explicit LineReader(const Line &line)
        : line_(line)
    { }
    bool done() const
    {
        return next_ >= line_.size();
    }
    const Token &token()
    {
        if (done()) {
            Token after = line_.back();
            after.column += static_cast<int>(after.text.size());
            throwAt(after, "the line ends too early");
        }
        return line_[next_++];
    }
    bool accept(const std::string &text)
    {
        const bool is = !done() && line_[next_].text == text;
        next_ += is ? 1 : 0;
        return is;
    }
    void expect(const std::string &text)
    {
        const Token &found = token();
        if (found.text != text) {
            throwAt(found, "expected \"" + text + "\"");
        }
    }
    double number()
    {
        const Token &found = token();
        char *end = nullptr;
        const double value = std::strtod(found.text.c_str(), &end);
        if (end == found.text.c_str() || *end != '\0') {
            throwAt(found, "not a number");
        }
        return value;
    }
    Millis duration()
    {
        const Token &found = token();
        const auto value = parseDuration(found.text);
        if (!value) {
            throwAt(found, value.error().message);
        }
        return *value;
    }
    double share()
    {
        const Token &found = token();
        const auto value = parsePercentage(found.text);
        if (!value) {
            throwAt(found, value.error().message);
        }
        return *value;
    }
    void finish()
    {
        if (!done()) {
            throwAt(line_[next_], "unexpected token");
        }
    }

private:
    const Line &line_;
    std::size_t next_ = 0;
};

using Action = std::function<void(HomeRig &)>;

Action parseAction(LineReader &reader, const RigOptions &options)
{
    reader.expect("server");
    const Token name = reader.token();
    const bool all = name.text == "all";
    bool known = all;
    for (int i = 0; i < options.servers; ++i) {
        known = known || name.text == "s" + std::to_string(i);
    }
    if (!known) {
        throwAt(name, "no such server");
    }
    const Token verb = reader.token();
    std::function<void(FakeServer &, SteadyTime)> set;
    if (verb.text == "stall") {
        set = [share = reader.share()](FakeServer &s, SteadyTime) { s.stallShare = share; };
    } else if (verb.text == "errors") {
        set = [share = reader.share()](FakeServer &s, SteadyTime) { s.errorShare = share; };
    } else if (verb.text == "slow") {
        set = [factor = reader.number()](FakeServer &s, SteadyTime) { s.slowFactor = factor; };
    } else if (verb.text == "flap") {
        set = [period = reader.duration()](FakeServer &s, SteadyTime) { s.flapPeriod = period; };
    } else if (verb.text == "cold") {
        set = [length = reader.duration()](FakeServer &s, SteadyTime now) {
            ++s.incarnation;
            s.coldUntil = now + length;
        };
    } else if (verb.text == "well") {
        set = [](FakeServer &s, SteadyTime) { s = FakeServer{}; };
    } else if (verb.text == "silent") {
        set = [](FakeServer &s, SteadyTime) { s.announces = false; };
    } else if (verb.text == "drain") {
        set = [](FakeServer &s, SteadyTime) { s.state = ServerState::Draining; };
    } else {
        throwAt(verb, "unknown fault");
    }
    return [all, name = name.text, set](HomeRig &rig) {
        for (const std::string &one : rig.serverNames()) {
            if (all || one == name) {
                set(rig.server(one), rig.now());
            }
        }
    };
}

/** A condition that is checked every 10 ms. */
struct Condition {
    std::string server;
    bool out = true;

    bool holds(const HomeRig &rig) const
    {
        return rig.isOut(server) == out;
    }
};

Condition parseCondition(LineReader &reader)
{
    reader.expect("server");
    Condition condition;
    condition.server = reader.token().text;
    const Token &state = reader.token();
    if (state.text != "out" && state.text != "in") {
        throwAt(state, "expected \"out\" or \"in\"");
    }
    condition.out = state.text == "out";
    return condition;
}

/** A scenario in progress. */
class Run
{
public:
    ScenarioResult run(const std::vector<Line> &lines)
    {
        for (const Line &line : lines) {
            statement(line);
        }
        if (lines.empty() || !ended_) {
            throwAt(lines.empty() ? Token{"", 1, 1} : lines.back().back(), "the scenario has no end");
        }
        if (result_.story.empty()) {
            throwAt(lines.front().front(), "the scenario has no story");
        }
        return result_;
    }

private:
    void statement(const Line &line)
    {
        LineReader reader(line);
        const Token &first = reader.token();
        if (first.text == "story") {
            while (!reader.done()) {
                result_.story += reader.token().text + " ";
            }
            return;
        }
        if (first.text == "service") {
            service(reader, first);
            return;
        }
        if (!rig_) {
            throwAt(first, "the service comes first");
        }
        if (first.text == "at") {
            const Millis when = reader.duration();
            const Action action = parseAction(reader, options_);
            rig_->at(when, [this, action] { action(*rig_); });
        } else if (first.text == "when") {
            const Condition condition = parseCondition(reader);
            reader.expect("then");
            triggers_.push_back({condition, parseAction(reader, options_), false});
        } else if (first.text == "expect") {
            expectation(reader, first);
        } else if (first.text == "end") {
            const Millis length = reader.duration();
            reader.finish();
            end(length);
        } else {
            throwAt(first, "unknown statement");
        }
        reader.finish();
    }

    void service(LineReader &reader, const Token &at)
    {
        if (rig_) {
            throwAt(at, "only one service is allowed");
        }
        while (!reader.done()) {
            const Token &key = reader.token();
            if (key.text == "servers") {
                options_.servers = static_cast<int>(reader.number());
            } else if (key.text == "slots") {
                options_.slots = static_cast<std::uint32_t>(reader.number());
            } else if (key.text == "rate") {
                options_.rate = reader.number();
            } else if (key.text == "response") {
                options_.responseTime = reader.duration();
            } else if (key.text == "floor") {
                options_.floor.servers = static_cast<std::uint32_t>(reader.number());
            } else if (key.text == "seed") {
                options_.seed = static_cast<std::uint64_t>(reader.number());
            } else if (key.text == "writes") {
                options_.idempotentShare = 1.0 - reader.share();
            } else if (key.text == "care") {
                care(reader.token());
            } else {
                throwAt(key, "unknown property of the service");
            }
        }
        rig_ = std::make_unique<HomeRig>(options_);
    }

    void care(const Token &token)
    {
        for (const EjectionPolicy one : {EjectionPolicy::Fast, EjectionPolicy::Balanced, EjectionPolicy::Careful}) {
            if (token.text == ejectionPolicyName(one)) {
                options_.policy = one;
                return;
            }
        }
        throwAt(token, "care must be fast, balanced or careful");
    }

    void fail(const Token &at, const std::string &what)
    {
        result_.failures.push_back("line " + std::to_string(at.line) + ": " + what);
    }

    void expectation(LineReader &reader, const Token &at)
    {
        ++result_.expectations;
        if (reader.accept("within")) {
            const Millis within = reader.duration();
            reader.expect("of");
            const Millis from = reader.duration();
            watches_.push_back({at, parseCondition(reader), from, within, false, false});
        } else if (reader.accept("never")) {
            if (reader.accept("below")) {
                const auto least = static_cast<std::uint32_t>(reader.number());
                checks_.emplace_back([this, at, least] {
                    if (rig_->minInService() < least) {
                        fail(at, "servers in service fell to " + std::to_string(rig_->minInService()));
                    }
                });
            } else {
                watches_.push_back({at, parseCondition(reader), Millis(0), Millis(0), true, false});
            }
        } else if (reader.accept("ejections")) {
            reader.expect("at");
            reader.expect("most");
            const auto most = static_cast<std::size_t>(reader.number());
            checks_.emplace_back([this, at, most] {
                if (rig_->ejections().size() > most) {
                    fail(at, std::to_string(rig_->ejections().size()) + " ejections");
                }
            });
        } else {
            reader.expect("good");
            reader.expect("at");
            reader.expect("least");
            const double least = reader.share();
            checks_.emplace_back([this, at, least] {
                const auto all = static_cast<double>(rig_->good + rig_->late + rig_->failed + rig_->refused);
                const double share = all > 0 ? static_cast<double>(rig_->good) / all : 0.0;
                if (share < least) {
                    fail(at, "good were " + std::to_string(share * 100.0) + "%");
                }
            });
        }
    }

    void end(Millis length)
    {
        constexpr Millis step{10};
        for (Millis now = step; now <= length; now += step) {
            rig_->runUntil(now);
            for (Trigger &trigger : triggers_) {
                if (!trigger.done && trigger.condition.holds(*rig_)) {
                    trigger.done = true;
                    trigger.action(*rig_);
                }
            }
            for (Watch &watch : watches_) {
                observe(watch, now);
            }
        }
        for (const Watch &watch : watches_) {
            if (!watch.never && !watch.seen) {
                fail(watch.at, "the condition did not hold within the given time");
            }
        }
        for (const auto &check : checks_) {
            check();
        }
        ended_ = true;
    }

    struct Trigger {
        Condition condition;
        Action action;
        bool done;
    };
    struct Watch {
        Token at;
        Condition condition;
        Millis from;
        Millis within;
        bool never;
        bool seen;
    };

    void observe(Watch &watch, Millis now)
    {
        if (watch.seen || !watch.condition.holds(*rig_)) {
            return;
        }
        if (watch.never) {
            watch.seen = true;
            fail(watch.at, "the condition held at " + durationText(now));
        } else if (now >= watch.from && now <= watch.from + watch.within) {
            watch.seen = true;
        }
    }

    RigOptions options_;
    std::unique_ptr<HomeRig> rig_;
    ScenarioResult result_;
    std::vector<Trigger> triggers_;
    std::vector<Watch> watches_;
    std::vector<std::function<void()>> checks_;
    bool ended_ = false;
};

} // namespace

Expected<ScenarioResult> runScenario(const std::string &text)
{
    try {
        return Run().run(tokenize(text));
    } catch (const SyntaxError &error) {
        return fail(ErrorCode::Malformed, std::to_string(error.at.line) + ":" + std::to_string(error.at.column) + ": "
                                              + error.message
                                              + (error.at.text.empty() ? "" : " (\"" + error.at.text + "\")"));
    }
}

} // namespace waxwing::testing
