#include "src/link/PeerHubState.h"

namespace waxwing {

void PeerHub::State::finishPending(std::uint64_t id, const LinkPtr &link, ExecReply reply)
{
    const auto found = pending.find(id);
    if (found == pending.end() || found->second->link != link) {
        return;
    }
    found->second->replied = true;
    found->second->reply = std::move(reply);
    found->second->latch->release();
}

tl::expected<ExecReply, CallError> PeerHub::State::sendAndWait(const NodeRef &to, const Endpoint &endpoint,
                                                               const std::function<Message(std::uint64_t)> &messageOf,
                                                               Duration timeout,
                                                               const std::function<void(std::uint64_t)> &onSent)
{
    const auto link = linkTo(to, endpoint);
    if (!link) {
        return tl::unexpected<CallError>(CallError{false, link.error().message});
    }
    const std::uint64_t id = nextCall++;
    const auto call = std::make_shared<Pending>();
    TimedLatch timed(ioContext, timeout);
    call->link = *link;
    call->latch = timed.latch;
    pending[id] = call;
    if (!sendOn(*link, messageOf(id))) {
        pending.erase(id);
        return tl::unexpected<CallError>(CallError{false, "link is closed or its send buffer is full"});
    }
    if (onSent) {
        onSent(id);
    }
    timed.wait();
    pending.erase(id);
    if (call->replied) {
        return std::move(call->reply);
    }
    return tl::unexpected<CallError>(CallError{true, call->linkLost ? "link lost" : "no reply within the timeout"});
}

tl::expected<ExecReply, CallError> PeerHub::call(const NodeRef &to, const Endpoint &endpoint, Exec exec,
                                                 Duration timeout, const std::function<void(std::uint64_t)> &onSent)
{
    std::uint64_t sentId = 0;
    const auto noteSent = [&](std::uint64_t id) {
        sentId = id;
        if (onSent) {
            onSent(id);
        }
    };
    auto result = state_->sendAndWait(
        to, endpoint,
        [&](std::uint64_t id) {
            exec.id = id;
            return Message(std::move(exec));
        },
        timeout, noteSent);
    const auto link = state_->outgoing.find(to);
    if (!result && sentId != 0 && link != state_->outgoing.end()) {
        state_->sendOn(link->second, Cancel{sentId});
    }
    return result;
}

Expected<void> PeerHub::sendAcknowledged(const NodeRef &to, const Endpoint &endpoint, ClaimHandover message,
                                         Duration timeout)
{
    const auto result = state_->sendAndWait(to, endpoint,
                                            [&](std::uint64_t id) {
                                                message.id = id;
                                                return Message(message);
                                            },
                                            timeout, {});
    return result ? Expected<void>() : fail(ErrorCode::Timeout, result.error().reason);
}

Expected<void> PeerHub::ping(const NodeRef &to, const Endpoint &endpoint, Duration timeout)
{
    const auto result =
        state_->sendAndWait(to, endpoint, [](std::uint64_t id) { return Message(Ping{id}); }, timeout, {});
    return result ? Expected<void>() : fail(ErrorCode::Timeout, result.error().reason);
}

void PeerHub::cancelCall(std::uint64_t id)
{
    const auto found = state_->pending.find(id);
    if (found != state_->pending.end()) {
        found->second->latch->release();
    }
}

} // namespace waxwing
