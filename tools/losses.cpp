/**
 * Summarizes the logs of all nodes from the output of a run and prints the causes of lost requests as Markdown tables:
 * waxwing-losses [FILE...]; reads standard input if no file is given.
 */
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace {

constexpr double millisPerSecond = 1000.0;

/** One log line of one node. */
struct LogLine {
    double at = 0.0;
    std::string node;
    std::map<std::string, std::string> fields;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }

    /** Returns a number field; 0 if it is missing or no number. */
    double number(const std::string &name) const
    {
        return std::strtod(field(name).c_str(), nullptr);
    }
};

/** Parses a log line. Returns nullopt for any other line, such as one of the run's own report. */
std::optional<LogLine> parse(const std::string &text)
{
    std::istringstream in(text);
    LogLine line;
    if (!(in >> line.at >> line.node)) {
        return std::nullopt;
    }
    std::string token;
    while (in >> token) {
        const std::size_t separator = token.find('=');
        if (separator != std::string::npos) {
            const std::string value = token.substr(separator + 1);
            line.fields[token.substr(0, separator)] = value == "\"\"" ? "" : value;
        }
    }
    return line.fields.count("event") != 0 ? std::optional<LogLine>(line) : std::nullopt;
}

using Counts = std::map<std::string, long>;

void printTable(const std::string &title, const Counts &counts)
{
    std::vector<std::pair<long, std::string>> rows;
    for (const auto &[name, count] : counts) {
        rows.emplace_back(count, name);
    }
    std::sort(rows.rbegin(), rows.rend());
    std::cout << "\n| " << title << " | |\n| --- | --- |\n";
    for (const auto &[count, name] : rows) {
        std::cout << "| " << name << " | " << count << " |\n";
    }
}

/**
 * What requests needed to reach a server: sends, bytes by distance, time, and how often each priority was served. Times
 * are those of the ingress, whose lines alone are used.
 */
class PlacementTables
{
public:
    void addSend(const LogLine &line)
    {
        Request &request = requests_[line.node + " " + line.field("request")];
        ++request.sends;
        const std::string reason = line.field("reason");
        if (line.field("outcome") == "not-run") {
            ++refusals_[reason.empty() ? "no reason" : reason];
            ++refusalsByHome_[line.field("home")];
        } else {
            request.startedAt = line.at - line.number("tookMs") / millisPerSecond;
        }
        ++sendsByDistance_[line.field("distance")];
        bytesByDistance_[line.field("distance")] += static_cast<long>(line.number("bytes"));
    }

    void addResponse(const LogLine &line)
    {
        const Request request = requests_[line.node + " " + line.field("request")];
        requests_.erase(line.node + " " + line.field("request"));
        ++sendsPerRequest_[std::to_string(request.sends)];
        Share &share = served_[line.field("service") + ", priority " + line.field("priority")];
        ++share.all;
        const bool ran = line.field("outcome") == "ran";
        share.served += line.field("status") == "200" ? 1 : 0;
        ran_ += ran ? 1 : 0;
        sends_ += request.sends;
        const double arrivedAt = line.at - line.number("tookMs") / millisPerSecond;
        const double halfObjective = line.number("objectiveMs") / millisPerSecond / 2;
        if (ran && halfObjective > 0.0 && request.startedAt - arrivedAt > halfObjective) {
            ++slowToServer_;
        }
    }

    void print() const
    {
        std::cout
            << "\n| Requests that ran | sends | sends for each that ran | over half of the objective to a server |\n"
            << "| --- | --- | --- | --- |\n| " << ran_ << " | " << sends_ << " | "
            << static_cast<double>(sends_) / static_cast<double>(std::max(1L, ran_)) << " | " << slowToServer_
            << " |\n";
        printTable("Requests by number of sends", sendsPerRequest_);
        printTable("Refusals by reason", refusals_);
        printTable("Refusals by home", refusalsByHome_);
        printTable("Sends by distance", sendsByDistance_);
        printTable("Bytes of bodies by distance", bytesByDistance_);
        std::cout << "\n| Served, by service and priority | requests | share |\n| --- | --- | --- |\n";
        for (const auto &[name, share] : served_) {
            std::cout << "| " << name << " | " << share.all << " | "
                      << static_cast<double>(share.served) / static_cast<double>(share.all) << " |\n";
        }
    }

private:
    struct Request {
        long sends = 0;
        /** When the last send that was not refused began. */
        double startedAt = 0.0;
    };
    struct Share {
        long all = 0;
        long served = 0;
    };

    std::map<std::string, Request> requests_;
    std::map<std::string, Share> served_;
    Counts sendsPerRequest_;
    Counts refusals_;
    Counts refusalsByHome_;
    Counts sendsByDistance_;
    Counts bytesByDistance_;
    long ran_ = 0;
    long sends_ = 0;
    long slowToServer_ = 0;
};

class LossTables
{
public:
    void add(const LogLine &line)
    {
        const std::string event = line.field("event");
        if (event == "answered") {
            addResponse(line);
            placement_.addResponse(line);
        } else if (event == "sent") {
            placement_.addSend(line);
        } else if (event == "refused") {
            ++responses_[line.field("status") + " " + line.field("reason")];
        } else if (event == "home_done") {
            addWork(line);
        } else if (event == "retry_requested") {
            ++retries_[line.field("why") + ", " + line.field("allowed")];
        } else if (event == "store_call") {
            ++storeCalls_[line.field("kind") + " " + line.field("call")
                          + (line.field("revision").empty() ? ", failed" : "")];
        } else if (event == "watch_role") {
            ++roles_[line.field("role")];
        } else if (event == "node_stopping") {
            ++stops_["stop requested"];
        } else if (event == "node_stopped") {
            ++stops_["stopped, cleanly: " + line.field("cleanly")];
        }
        ++lines_[event];
    }

    void print() const
    {
        printTable("Responses to callers", responses_);
        printTable("Server failures, by time since the previous failure of the same server", failures_);
        printTable("Retries and hedges requested", retries_);
        printTable("Store calls", storeCalls_);
        printTable("Nodes by role in watching the store", roles_);
        printTable("Stops", stops_);
        printTable("Log lines", lines_);
        placement_.print();
    }

private:
    void addResponse(const LogLine &line)
    {
        const std::string status = line.field("status");
        const std::string reason = line.field("reason");
        ++responses_[status + (reason.empty() ? "" : " " + reason) + ", " + line.field("outcome")];
    }

    void addWork(const LogLine &line)
    {
        const bool ran = line.field("outcome") != "not-run";
        const bool failed = ran && (line.field("status") != "200" || line.field("outcome") == "unknown");
        if (!failed) {
            return;
        }
        const auto previous = lastFailure_.find(line.node);
        ++failures_[previous == lastFailure_.end() ? "first" : spanOf(line.at - previous->second)];
        lastFailure_[line.node] = line.at;
    }

    static std::string spanOf(double seconds)
    {
        constexpr double probeInterval = 1.0;
        constexpr double maxGapSamePhase = 3.0;
        constexpr double maxGapNextPhase = 12.0;
        if (seconds < probeInterval) {
            return "under 1 s";
        }
        if (seconds < maxGapSamePhase) {
            return "1 to 3 s";
        }
        return seconds < maxGapNextPhase ? "3 to 12 s" : "more than 12 s";
    }

    Counts responses_;
    Counts failures_;
    Counts retries_;
    Counts storeCalls_;
    Counts roles_;
    Counts stops_;
    Counts lines_;
    std::map<std::string, double> lastFailure_;
    PlacementTables placement_;
};

void addAll(std::istream &in, LossTables &tables)
{
    std::string text;
    while (std::getline(in, text)) {
        if (const std::optional<LogLine> line = parse(text)) {
            tables.add(*line);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int exitUnreadable = 2;
    LossTables tables;
    for (int i = 1; i < argc; ++i) {
        std::ifstream file(argv[i]);
        if (!file) {
            std::cerr << argv[i] << ": can't be read\n";
            return exitUnreadable;
        }
        addAll(file, tables);
    }
    if (argc == 1) {
        addAll(std::cin, tables);
    }
    tables.print();
    return 0;
}
