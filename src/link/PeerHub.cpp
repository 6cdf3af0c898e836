#include "src/link/PeerHub.h"

#include "src/link/PeerHubState.h"

namespace waxwing {

PeerHub::PeerHub(boost::asio::io_context &ioContext, const Clock &clock, NodeRef self, Hooks hooks)
    : state_(std::make_shared<State>(ioContext, clock, std::move(self), std::move(hooks)))
{
    state_->setUp();
}

PeerHub::~PeerHub()
{
    stop();
}

Expected<void> PeerHub::listen(const Endpoint &endpoint)
{
    boost::system::error_code addressError;
    const auto ip = boost::asio::ip::make_address(endpoint.address, addressError);
    websocketpp::lib::error_code error;
    state_->server.listen(boost::asio::ip::tcp::endpoint(ip, endpoint.port), error);
    if (!error) {
        state_->server.start_accept(error);
    }
    if (addressError || error) {
        return fail(ErrorCode::Unavailable, "listen on " + endpoint.text() + ": " + error.message());
    }
    state_->listening = true;
    state_->port = state_->server.get_local_endpoint(addressError).port();
    return {};
}

std::uint16_t PeerHub::port() const
{
    return state_->port;
}

Expected<NodeRef> PeerHub::discover(const Endpoint &endpoint)
{
    for (const auto &[peer, link] : state_->outgoing) {
        if (link->endpoint == endpoint) {
            return peer;
        }
    }
    const State::LinkPtr link = state_->connectTo(endpoint);
    if (!link) {
        return fail(ErrorCode::Unavailable, "cannot connect to " + endpoint.text());
    }
    const Expected<void> hello = state_->awaitHello(link);
    if (!hello) {
        return tl::unexpected<Error>(hello.error());
    }
    return link->peer;
}

Expected<LinkId> PeerHub::linkAt(const Endpoint &endpoint, Duration timeout, bool forceNew)
{
    return state_->linkAt(endpoint, timeout, forceNew);
}

std::optional<LinkId> PeerHub::openLinkAt(const Endpoint &endpoint) const
{
    const auto found = state_->byEndpoint.find(endpoint);
    return found == state_->byEndpoint.end() ? std::nullopt : std::optional<LinkId>(found->second->id);
}

std::optional<NodeRef> PeerHub::peerOn(LinkId link) const
{
    const auto found = state_->links.find(link);
    return found == state_->links.end() ? std::nullopt : std::optional<NodeRef>(found->second->peer);
}

bool PeerHub::peerKnowsKeys(LinkId link) const
{
    const auto found = state_->links.find(link);
    return found != state_->links.end() && found->second->peerRevision >= WireRevision::CustomerKeys;
}

bool PeerHub::peerKnowsReservations(LinkId link) const
{
    const auto found = state_->links.find(link);
    return found != state_->links.end() && found->second->peerRevision >= WireRevision::SlotReservations;
}

bool PeerHub::peerKnowsHomeReports(LinkId link) const
{
    const auto found = state_->links.find(link);
    return found != state_->links.end() && found->second->peerRevision >= WireRevision::HomeReports;
}

std::optional<Duration> PeerHub::helloAge(LinkId link) const
{
    const auto found = state_->links.find(link);
    if (found == state_->links.end() || !found->second->helloAt) {
        return std::nullopt;
    }
    return state_->clock.now() - *found->second->helloAt;
}

void PeerHub::close(LinkId link)
{
    const auto found = state_->links.find(link);
    if (found != state_->links.end()) {
        const State::LinkPtr held = found->second;
        state_->closeLink(held, websocketpp::close::status::going_away);
    }
}

Expected<void> PeerHub::send(const NodeRef &to, const Endpoint &endpoint, const Message &message)
{
    const auto link = state_->linkTo(to, endpoint);
    if (!link) {
        return tl::unexpected<Error>(link.error());
    }
    if (!state_->sendOn(*link, message)) {
        return fail(ErrorCode::Unavailable, "link to " + to.text() + " is closed or its send buffer is full");
    }
    return {};
}

void PeerHub::closeUnidentified(Duration olderThan)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const auto links = state_->links;
    for (const auto &[id, link] : links) {
        if (!link->outgoing && !link->helloReceived && now - link->since >= olderThan) {
            state_->closeLink(link, websocketpp::close::status::policy_violation);
        }
    }
}

bool PeerHub::reply(LinkId link, Message message)
{
    const auto found = state_->links.find(link);
    if (found == state_->links.end()) {
        return false;
    }
    const State::LinkPtr held = found->second;
    return state_->sendOn(held, std::move(message));
}

std::optional<SteadyTime> PeerHub::lastReceivedAt(LinkId link) const
{
    const auto found = state_->links.find(link);
    return found == state_->links.end() ? std::nullopt : std::optional<SteadyTime>(found->second->lastReceivedAt);
}

std::size_t PeerHub::queuedBytes(LinkId link) const
{
    const auto found = state_->links.find(link);
    return found == state_->links.end() ? 0 : state_->bufferedBytes(found->second).value_or(0);
}

Duration PeerHub::sendStalledFor(LinkId link) const
{
    const auto found = state_->links.find(link);
    const bool waits = found != state_->links.end() && found->second->queuedBytes > 0;
    return waits ? state_->clock.now() - found->second->drainedAt : Duration(0);
}

std::size_t PeerHub::queuedBytes() const
{
    return state_->queuedBytes;
}

void PeerHub::disconnect(const NodeRef &peer)
{
    const auto found = state_->outgoing.find(peer);
    if (found != state_->outgoing.end()) {
        const State::LinkPtr link = found->second;
        state_->closeLink(link, websocketpp::close::status::going_away);
    }
}

std::size_t PeerHub::openLinkCount() const
{
    return state_->links.size();
}

std::uint64_t PeerHub::bytesSent() const
{
    return state_->bytesSent;
}

std::uint64_t PeerHub::bytesReceived() const
{
    return state_->bytesReceived;
}

void PeerHub::stop()
{
    if (state_->stopped) {
        return;
    }
    state_->stopped = true;
    websocketpp::lib::error_code ignored;
    if (state_->listening) {
        state_->server.stop_listening(ignored);
    }
    const auto links = state_->links;
    for (const auto &[id, link] : links) {
        state_->closeLink(link, websocketpp::close::status::going_away);
    }
}

} // namespace waxwing
