/**
 * Summarizes the logs of all nodes from the output of a run and prints the causes of lost requests as Markdown tables:
 * waxwing-losses [FILE...]; reads standard input if no file is given.
 */
#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace {

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

class LossTables
{
public:
    void add(const LogLine &line)
    {
        const std::string event = line.field("event");
        if (event == "answered") {
            addResponse(line);
        } else if (event == "refused") {
            ++responses_[line.field("status") + " " + line.field("reason")];
        } else if (event == "home_done") {
            addWork(line);
        } else if (event == "second_send") {
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
        table("Responses to callers", responses_);
        table("Server failures, by time since the previous failure of the same server", failures_);
        table("Retries and hedges requested", retries_);
        table("Store calls", storeCalls_);
        table("Nodes by role in watching the store", roles_);
        table("Stops", stops_);
        table("Log lines", lines_);
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

    static void table(const std::string &title, const Counts &counts)
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

    Counts responses_;
    Counts failures_;
    Counts retries_;
    Counts storeCalls_;
    Counts roles_;
    Counts stops_;
    Counts lines_;
    std::map<std::string, double> lastFailure_;
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
