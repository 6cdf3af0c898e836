#include "tests/soak/Load.h"

#include "platform/Names.h"
#include "src/fiber/FiberLoop.h"

#include <algorithm>
#include <set>

namespace waxwing::soak {

namespace {

namespace names = platform::names;

/** Time beyond a request's own timeout after which its caller gives up, for a machine that other work shares. */
constexpr Millis responseMargin{3000};
constexpr Millis pauseBetweenRequests{40};
constexpr Millis pauseAfterFailure{100};
constexpr Millis pauseOfLimited{60};
/** With reads of 8 KB: 800 KB a second. */
constexpr Millis slowReadPause{10};
constexpr int downloadBytes = 90000;
constexpr int downloadSizes = 5;
constexpr unsigned statusOk = 200;

std::string withoutNumber(const std::string &path)
{
    return path.substr(1, path.find('/', 1) - 1);
}

} // namespace

std::vector<std::string> LoadKeys::all() const
{
    return {school.key, firm.key, secondOfFirm.key, limited.key};
}

Load::Load(testing::Mesh &mesh, int nodes, RunRecord &record)
    : mesh_(mesh)
    , nodes_(nodes)
    , record_(record)
{ }

Load::Request Load::makeRequest(int node, const std::string &method, const std::string &path, const CustomerKey &key)
{
    Request request;
    Observation &observation = request.observation;
    observation.id = withoutNumber(path) + "-" + std::to_string(++nextId_);
    observation.node = node;
    observation.idempotent = method == "GET";
    observation.customer = key.customer;
    observation.key = key.key;
    observation.expectedBody = "whole answer to " + observation.id;
    const std::string sizeMarker = "bytes-";
    const std::size_t marker = path.find(sizeMarker);
    if (marker != std::string::npos) {
        observation.expectedBody.resize(std::stoul(path.substr(marker + sizeMarker.size())), '.');
    }
    request.bytes = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + names::requestId + ": "
                    + observation.id + "\r\n" + names::timeoutMs + ": " + std::to_string(requestTimeout.count())
                    + "\r\n";
    if (!key.key.empty()) {
        request.bytes += std::string(names::credential) + ": " + names::credentialScheme + " " + key.key + "\r\n";
    }
    request.bytes += observation.idempotent ? "\r\n" : "Content-Length: 4\r\n\r\nseat";
    return request;
}

void Load::take(const tl::expected<CallerResponse, ReadFailure> &response, Observation &observation)
{
    observation.ended = systemNow();
    if (!response) {
        observation.brokenOff = response.error() == ReadFailure::BrokenOff;
        return;
    }
    observation.status = response->response.status;
    observation.body = response->response.body.text();
    observation.respondedId = std::string(headerValue(response->response.headers, names::requestId));
}

void Load::exchange(CallerConnection &connection, std::vector<Request> requests, Millis pauseBetweenReads)
{
    std::string bytes;
    const int pipeline = requests.size() > 1 ? ++nextPipeline_ : 0;
    for (Request &request : requests) {
        request.observation.pipeline = pipeline;
        request.observation.sent = systemNow();
        bytes += request.bytes;
    }
    bool open = connection.write(bytes);
    const bool written = open;
    bool closing = false;
    // Requests of a batch that aren't idempotent run one after the other.
    const Millis timeout = responseMargin + requestTimeout * static_cast<int>(requests.size());
    for (Request &request : requests) {
        Observation &observation = request.observation;
        observation.ended = systemNow();
        observation.behindClose = closing;
        if (open) {
            const auto response = connection.read(timeout, pauseBetweenReads);
            take(response, observation);
            closing = response && !response->keepAlive;
            open = response && response->keepAlive;
        } else {
            observation.brokenOff = written && !closing;
        }
        record_.observations.push_back(std::move(observation));
    }
    testing::pause(open || closing ? pauseBetweenRequests : pauseAfterFailure);
}

void Load::run(const std::function<void()> &step)
{
    ++running_;
    spawnFiber([this, step] {
        while (!stopping_) {
            step();
        }
        --running_;
    });
}

void Load::startKept(int node)
{
    const auto connection = std::make_shared<CallerConnection>(mesh_.callers(node));
    run([this, node, connection] {
        exchange(*connection, {makeRequest(node, "GET", "/dates/1", keys_.school)});
        exchange(*connection, {makeRequest(node, "POST", "/seats/1", keys_.firm)});
        exchange(*connection, {makeRequest(node, "POST", "/seats/2", keys_.secondOfFirm)});
        exchange(*connection, {makeRequest(node, "GET", "/open/1", {})});
    });
}

void Load::startPipelining(int node)
{
    const auto connection = std::make_shared<CallerConnection>(mesh_.callers(node));
    run([this, node, connection] {
        exchange(*connection,
                 {makeRequest(node, "GET", "/dates/2", keys_.school),
                  makeRequest(node, "GET", "/dates/bytes-3000", keys_.firm),
                  makeRequest(node, "GET", "/dates/3", keys_.school),
                  makeRequest(node, "POST", "/seats/3", keys_.school), makeRequest(node, "GET", "/open/2", {})});
    });
}

void Load::startDownloads(int node)
{
    const auto connection = std::make_shared<CallerConnection>(mesh_.callers(node));
    run([this, node, connection] {
        const std::string size = std::to_string(downloadBytes * (1 + nextId_ % downloadSizes));
        exchange(*connection, {makeRequest(node, "GET", "/files/bytes-" + size, keys_.firm)}, slowReadPause);
    });
}

void Load::startLimited()
{
    for (int node = 0; node < nodes_; ++node) {
        const auto connection = std::make_shared<CallerConnection>(mesh_.callers(node));
        run([this, node, connection] {
            exchange(*connection, {makeRequest(node, "GET", "/dates/4", keys_.limited)});
            testing::pause(pauseOfLimited);
        });
    }
}

void Load::start()
{
    for (int node = 0; node < nodes_; ++node) {
        startKept(node);
        startPipelining(node);
        startDownloads(node);
    }
    startLimited();
}

void Load::stop()
{
    stopping_ = true;
    testing::eventually([this] { return running_ == 0; }, std::chrono::seconds(30));
}

bool Load::probe(int node)
{
    CallerConnection connection(mesh_.callers(node));
    const std::size_t first = record_.observations.size();
    std::vector<Request> requests = {makeRequest(node, "GET", "/dates/5", keys_.school),
                                     makeRequest(node, "POST", "/seats/5", keys_.secondOfFirm),
                                     makeRequest(node, "GET", "/files/bytes-20000", keys_.firm)};
    std::set<std::string> ids;
    for (const Request &request : requests) {
        ids.insert(request.observation.id);
    }
    exchange(connection, std::move(requests));
    return std::count_if(record_.observations.begin() + static_cast<std::ptrdiff_t>(first), record_.observations.end(),
                         [&ids](const Observation &one) { return one.status == statusOk && ids.count(one.id) != 0; })
           == static_cast<std::ptrdiff_t>(ids.size());
}

} // namespace waxwing::soak
