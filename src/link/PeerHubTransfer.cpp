#include "src/link/PeerHubState.h"

namespace waxwing {

namespace {

constexpr std::size_t maxBufferedBytes = 16UL * 1024 * 1024;

} // namespace

std::optional<std::size_t> PeerHub::State::bufferedBytes(const LinkPtr &link)
{
    websocketpp::lib::error_code error;
    const auto buffered = [&](auto &endpoint) {
        const auto connection = endpoint.get_con_from_hdl(link->handle, error);
        return error ? 0 : connection->get_buffered_amount();
    };
    const std::size_t waiting = link->outgoing ? buffered(client) : buffered(server);
    return error ? std::nullopt : std::optional<std::size_t>(waiting + link->framer.queuedBytes());
}

bool PeerHub::State::canSend(const LinkPtr &link)
{
    const std::optional<std::size_t> buffered = link->closed ? std::nullopt : bufferedBytes(link);
    return buffered && *buffered <= maxBufferedBytes;
}

void PeerHub::State::noteQueued(const LinkPtr &link)
{
    const std::size_t queued = link->closed ? 0 : link->framer.queuedBytes();
    if (queued < link->queuedBytes || link->queuedBytes == 0) {
        link->drainedAt = clock.now();
    }
    queuedBytes = queuedBytes - link->queuedBytes + queued;
    link->queuedBytes = queued;
}

bool PeerHub::State::writeFrame(const LinkPtr &link, const std::string &frame)
{
    websocketpp::lib::error_code error;
    if (link->outgoing) {
        client.send(link->handle, frame, websocketpp::frame::opcode::binary, error);
    } else {
        server.send(link->handle, frame, websocketpp::frame::opcode::binary, error);
    }
    bytesSent += error ? 0 : frame.size();
    return !error;
}

bool PeerHub::State::sendOn(const LinkPtr &link, Message message)
{
    if (!canSend(link)) {
        return false;
    }
    const bool written =
        link->framer.send(std::move(message), [&](const std::string &frame) { return writeFrame(link, frame); });
    noteQueued(link);
    if (!written) {
        closeLink(link, websocketpp::close::status::going_away);
    }
    return written;
}

void PeerHub::State::onFrame(const LinkPtr &link, const std::string &payload)
{
    if (link->closed) {
        return;
    }
    bytesReceived += payload.size();
    link->lastReceivedAt = clock.now();
    Expected<std::optional<Message>> received =
        link->framer.receive(payload, [&](const std::string &frame) { return writeFrame(link, frame); });
    noteQueued(link);
    const bool helloFirst = link->helloReceived || (received && *received && std::holds_alternative<Hello>(**received));
    if (!received || !helloFirst) {
        if (hooks.onMalformed && (received || received.error().code == ErrorCode::Malformed)) {
            hooks.onMalformed(received ? "message before Hello" : received.error().message);
        }
        closeLink(link, websocketpp::close::status::unsupported_data);
        return;
    }
    if (*received) {
        onMessage(link, std::move(**received));
    }
}

void PeerHub::State::onMessage(const LinkPtr &link, Message message)
{
    if (const auto *hello = std::get_if<Hello>(&message)) {
        link->peer = hello->from;
        link->peerRevision = hello->revision;
        link->helloReceived = true;
        if (link->outgoing) {
            link->helloAt = clock.now();
            outgoing[link->peer] = link;
            byEndpoint[link->endpoint] = link;
            const auto opened = opening.find(link->endpoint);
            if (opened != opening.end() && opened->second == link) {
                opening.erase(opened);
            }
        }
        releaseWaiters(*link);
        if (hooks.onLinkOpen && !stopped) {
            hooks.onLinkOpen(link->id, link->outgoing);
        }
    } else if (const auto *ping = std::get_if<Ping>(&message)) {
        sendOn(link, Pong{ping->id});
    } else if (const auto *pong = std::get_if<Pong>(&message)) {
        finishPending(pong->id, link, ExecReply{});
    } else if (auto *reply = std::get_if<ExecReply>(&message)) {
        finishPending(reply->id, link, std::move(*reply));
    } else if (hooks.onMessage) {
        hooks.onMessage(link->id, link->peer, std::move(message));
    }
}

} // namespace waxwing
