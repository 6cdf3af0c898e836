#include "src/http/ResponseFlow.h"

namespace waxwing {

namespace {

ByteBudgetTuning tuningOf(const FlowSettings &settings)
{
    ByteBudgetTuning tuning;
    tuning.nodeBytes = settings.nodeBytes;
    tuning.maxRetryAfter = settings.stall;
    return tuning;
}

} // namespace

ResponseFlow::ResponseFlow(const FlowSettings &settings, const Clock &clock, Hooks hooks)
    : settings_(settings)
    , clock_(clock)
    , hooks_(std::move(hooks))
    , budget_(tuningOf(settings))
{ }

const FlowSettings &ResponseFlow::settings() const
{
    return settings_;
}

const ByteBudget &ResponseFlow::budget() const
{
    return budget_;
}

std::optional<ByteBudget::Id> ResponseFlow::reserve(const std::string &route, std::uint64_t requestBytes)
{
    const std::optional<ByteBudget::Id> id = budget_.reserve(route, requestBytes);
    reportHeld();
    return id;
}

Millis ResponseFlow::retryAfter(const std::string &route) const
{
    return budget_.retryAfter(route, clock_.now());
}

void ResponseFlow::addResponse(ByteBudget::Id id, std::string requestId, std::uint64_t bytes,
                               std::function<void()> close)
{
    budget_.addResponse(id, bytes, clock_.now());
    Response response;
    response.reader.requestId = std::move(requestId);
    response.reader.bytes = bytes;
    response.since = clock_.now();
    response.close = std::move(close);
    responses_[id] = std::move(response);
    closeExcess();
    reportHeld();
}

void ResponseFlow::closeExcess()
{
    while (const std::optional<ByteBudget::Id> id = budget_.findExcess(clock_.now())) {
        budget_.release(*id, clock_.now());
        const auto found = responses_.find(*id);
        if (found == responses_.end()) {
            continue;
        }
        Response response = std::move(found->second);
        responses_.erase(found);
        reportClosed(response, "node-bytes");
        response.close();
    }
}

void ResponseFlow::noteProgress(ByteBudget::Id id, std::uint64_t bytes)
{
    budget_.noteProgress(id, bytes);
    const auto found = responses_.find(id);
    if (found != responses_.end()) {
        found->second.reader.readBytes += bytes;
        reportSlow(found->second);
    }
}

void ResponseFlow::noteStalled(ByteBudget::Id id)
{
    const auto found = responses_.find(id);
    if (found != responses_.end()) {
        reportClosed(found->second, "stall");
    }
}

void ResponseFlow::release(ByteBudget::Id id)
{
    budget_.release(id, clock_.now());
    responses_.erase(id);
    reportHeld();
}

void ResponseFlow::reportSlow(Response &response)
{
    response.reader.writing = millisOf(clock_.now() - response.since);
    if (!response.reportedSlow && response.reader.writing >= slowAfter) {
        response.reportedSlow = true;
        hooks_.onSlow(response.reader);
    }
}

void ResponseFlow::reportClosed(Response &response, const std::string &reason)
{
    reportSlow(response);
    hooks_.onClosed(response.reader, reason);
}

void ResponseFlow::reportHeld() const
{
    hooks_.onHeld(budget_.heldBytes());
}

} // namespace waxwing
