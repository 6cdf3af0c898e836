/**
 * Stand-in for the platform's object API: versions, conditional updates, watches and call counts. On request it
 * simulates an outage, slowness, silence, watches that are cut or never answered, a history that is gone, or responses
 * that are lost after the write took effect.
 */
#include "platform/Names.h"
#include "src/http/HttpServer.h"
#include "tests/standins/StandinMain.h"

#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <vector>

namespace {

using namespace waxwing;
using nlohmann::json;

constexpr std::size_t maxValueBytes = 1000000;

struct Object {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    std::uint64_t createdVersion = 0;
    bool deleted = false;
    json value;

    /** Returns spec and metadata in the platform's format. */
    json toJson() const
    {
        return {{"metadata",
                 {{"name", name},
                  {"rev", version},
                  {"created_rev", createdVersion},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", value},
                {"status", nullptr}};
    }
};

struct Faults {
    bool outage = false;
    /** Calls that come meanwhile are never answered, even after the fault ends. */
    bool silent = false;
    std::int64_t slowMs = 0;
    /** Additional delay of full lists of one kind. */
    std::int64_t slowListMs = 0;
    std::string slowListKind;
    /** Number of writes that take effect but whose response is lost, and their kind; any kind if empty. */
    int loseAnswers = 0;
    std::string loseAnswersKind;
};

/** A watch that waits for a change. */
struct Waiter {
    FiberLatch latch;
    bool cut = false;
    /** The connection is silent: the watch is never answered. */
    bool isSilent = false;
};

struct Target {
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;
};

Target parseTarget(const std::string &target)
{
    const std::string root = platform::names::objects;
    Target out;
    const std::size_t question = target.find('?');
    const std::string path = target.substr(0, question);
    if (path.compare(0, root.size(), root) == 0) {
        const std::string rest = path.substr(root.size());
        const std::size_t slash = rest.find('/');
        out.kind = rest.substr(0, slash);
        out.name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    }
    std::size_t at = question;
    while (at != std::string::npos && at < target.size()) {
        const std::size_t equals = target.find('=', at);
        const std::size_t next = target.find('&', at + 1);
        if (equals != std::string::npos) {
            out.query[target.substr(at + 1, equals - at - 1)] = target.substr(equals + 1, next - equals - 1);
        }
        at = next;
    }
    return out;
}

class Store
{
public:
    explicit Store(boost::asio::io_context &ioContext)
        : ioContext_(ioContext)
    { }

    HttpReply handle(const HttpRequest &request)
    {
        if (request.target.compare(0, 2, "/_") == 0) {
            return control(request);
        }
        ++calls_[request.method];
        if (faults_.outage) {
            return HttpReply{{}, AfterResponse::Reset};
        }
        if (faults_.silent) {
            blockForever();
        }
        if (faults_.slowMs > 0) {
            sleepFor(ioContext_, Millis(faults_.slowMs));
        }
        const Target target = parseTarget(request.target);
        if (target.kind.empty()) {
            return reply(404, {{"error", "unknown path"}});
        }
        if (request.method == "GET") {
            return target.name.empty() ? list(target) : read(target);
        }
        HttpReply result = request.method == "DELETE" ? remove(target) : update(request.method, target, request.body);
        const bool mayLose = faults_.loseAnswersKind.empty() || faults_.loseAnswersKind == target.kind;
        if (faults_.loseAnswers > 0 && mayLose) {
            --faults_.loseAnswers;
            return HttpReply{{}, AfterResponse::Reset};
        }
        return result;
    }

private:
    static HttpReply reply(unsigned status, const json &body)
    {
        return HttpReply{jsonResponse(status, body.dump()), AfterResponse::KeepOpen};
    }

    HttpReply control(const HttpRequest &request)
    {
        if (request.target == "/_stats") {
            return reply(200, {{"calls", calls_}, {"revision", revision_}, {"objects", objects_.size()}});
        }
        const json body = json::parse(request.body, nullptr, false);
        if (request.target != "/_fault" || !body.is_object()) {
            return reply(400, {{"error", "POST /_fault with an object, or GET /_stats"}});
        }
        faults_.outage = body.value("outage", faults_.outage);
        faults_.silent = body.value("silent", faults_.silent);
        faults_.slowListMs = body.value("slowListMs", faults_.slowListMs);
        faults_.slowListKind = body.value("slowListKind", faults_.slowListKind);
        faults_.slowMs = body.value("slowMs", faults_.slowMs);
        faults_.loseAnswers = body.value("loseAnswers", faults_.loseAnswers);
        faults_.loseAnswersKind = body.value("loseAnswersKind", faults_.loseAnswersKind);
        if (body.value("forgetHistory", false)) {
            compactedBefore_ = revision_;
        }
        for (const auto &waiter : waiting_) {
            waiter->cut = waiter->cut || body.value("cutWatches", false);
            waiter->isSilent = waiter->isSilent || body.value("deafWatches", false);
        }
        if (faults_.outage || body.value("cutWatches", false)) {
            wakeAll();
        }
        return reply(200, json::object());
    }

    static void blockForever()
    {
        FiberLatch never;
        never.wait();
    }

    /** Waits up to @p allowed for a change of any object; never returns if the watch is silent. True: it was cut. */
    bool waitForChange(Millis allowed)
    {
        const auto waiter = std::make_shared<Waiter>();
        waiting_.push_back(waiter);
        boost::asio::steady_timer timer(ioContext_, allowed);
        timer.async_wait([waiter](boost::system::error_code) { waiter->latch.release(); });
        waiter->latch.wait();
        timer.cancel();
        waiting_.remove(waiter);
        if (waiter->isSilent) {
            blockForever();
        }
        return waiter->cut;
    }

    HttpReply read(const Target &target)
    {
        const auto found = objects_.find({target.kind, target.name});
        if (found == objects_.end() || found->second.deleted) {
            return reply(404, {{"error", "no such object"}});
        }
        return reply(200, found->second.toJson());
    }

    HttpReply list(const Target &target)
    {
        const auto since = target.query.find("watch");
        const auto wait = target.query.find("wait_ms");
        const std::uint64_t from = since == target.query.end() ? 0 : std::stoull(since->second);
        const std::int64_t waitMs = wait == target.query.end() ? 0 : std::stoll(wait->second);
        if (from > 0 && from < compactedBefore_) {
            return reply(410, {{"error", "history gone"}});
        }
        if (from > 0 && waitMs > 0 && !changedSince(target.kind, from)) {
            if (waitForChange(Millis(waitMs))) {
                return HttpReply{{}, AfterResponse::Reset};
            }
        }
        if (from == 0 && target.kind == faults_.slowListKind) {
            sleepFor(ioContext_, Millis(faults_.slowListMs));
        }
        if (faults_.outage) {
            return HttpReply{{}, AfterResponse::Reset};
        }
        json found = json::array();
        for (const auto &[id, object] : objects_) {
            const bool wanted = id.first == target.kind && object.version > from && (from > 0 || !object.deleted);
            if (wanted && from > 0) {
                found.push_back({{"object", object.toJson()}, {"deleted", object.deleted}});
            } else if (wanted) {
                found.push_back(object.toJson());
            }
        }
        if (from > 0) {
            return reply(200, {{"events", found}, {"as_of", revision_}});
        }
        return reply(200, {{"items", found}, {"more", false}, {"as_of", revision_}});
    }

    bool changedSince(const std::string &kind, std::uint64_t from) const
    {
        for (const auto &[id, object] : objects_) {
            if (id.first == kind && object.version > from) {
                return true;
            }
        }
        return false;
    }

    static HttpReply conflict(const Object &current)
    {
        return reply(409, current.toJson());
    }

    HttpReply update(const std::string &method, const Target &target, const std::string &text)
    {
        const json body = json::parse(text, nullptr, false);
        const json metadata = body.is_object() ? body.value("metadata", json::object()) : json();
        if (!metadata.is_object() || !body.contains("spec")) {
            return reply(400, {{"error", "metadata and spec are needed"}});
        }
        if (text.size() > maxValueBytes) {
            return reply(413, {{"error", "value too large"}});
        }
        const std::string name = target.name.empty() ? metadata.value("name", "") : target.name;
        const auto found = objects_.find({target.kind, name});
        const bool exists = found != objects_.end() && !found->second.deleted;
        if (method == "POST" && exists) {
            return conflict(found->second);
        }
        if (method == "PUT" && !exists) {
            return reply(404, {{"error", "no such object"}});
        }
        if (exists && metadata.value("rev", found->second.version) != found->second.version) {
            return conflict(found->second);
        }
        const std::uint64_t created = exists ? found->second.createdVersion : revision_ + 1;
        Object &object = objects_[{target.kind, name}];
        object = Object{target.kind, name, ++revision_, created, false, body["spec"]};
        wakeAll();
        return reply(200, object.toJson());
    }

    HttpReply remove(const Target &target)
    {
        const auto found = objects_.find({target.kind, target.name});
        if (found == objects_.end() || found->second.deleted) {
            return reply(404, {{"error", "no such object"}});
        }
        const auto version = target.query.find("rev");
        if (version != target.query.end() && std::stoull(version->second) != found->second.version) {
            return conflict(found->second);
        }
        found->second.deleted = true;
        found->second.version = ++revision_;
        found->second.value = nullptr;
        wakeAll();
        return reply(200, found->second.toJson());
    }

    void wakeAll()
    {
        for (const auto &waiter : waiting_) {
            waiter->latch.release();
        }
    }

    boost::asio::io_context &ioContext_;
    std::map<std::pair<std::string, std::string>, Object> objects_;
    std::map<std::string, std::uint64_t> calls_;
    std::list<std::shared_ptr<Waiter>> waiting_;
    Faults faults_;
    std::uint64_t revision_ = 1;
    /** Watches from an earlier revision get the response that the history is gone. */
    std::uint64_t compactedBefore_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("stand-in for the platform's object API");
    options.add_options()("port", po::value<std::uint16_t>()->default_value(0), "0 picks a free one");
    return standin::runStandin(
        argc, argv, options, [](boost::asio::io_context &ioContext, const po::variables_map &values) {
            Store store(ioContext);
            auto server = HttpServer::MakeListening(
                ioContext, "127.0.0.1", values["port"].as<std::uint16_t>(),
                [&](const HttpRequest &request, const CallerWatchPtr &) { return store.handle(request); });
            if (!server) {
                std::cerr << server.error().message << "\n";
                return 1;
            }
            standin::printPort("port", (*server)->port());
            standin::waitForStop(ioContext);
            return 0;
        });
}
