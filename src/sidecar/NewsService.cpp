#include "src/sidecar/NewsService.h"

#include "src/node/NodeCore.h"
#include "src/sidecar/ConfigFollower.h"
#include "src/sidecar/RosterKeeper.h"

namespace waxwing {

namespace {
/** A round trip between regions and the time to read a large configuration. */
constexpr Millis askPause{300};
} // namespace

NewsService::NewsService(NodeCore &core)
    : core_(core)
{ }

KnownVersions NewsService::versions() const
{
    return KnownVersions{core_.service<ConfigFollower>("config").version(),
                         core_.service<RosterKeeper>("roster").roster().asOf()};
}

void NewsService::linkOpened(LinkId link)
{
    const KnownVersions own = versions();
    const bool storeAway = !core_.service<RosterKeeper>("roster").storeAnswers();
    if (own.config == 0 || storeAway) {
        core_.service<PeerHub>("peers").reply(link, NewsRequest{own});
    }
}

void NewsService::heard(LinkId link, const KnownVersions &theirs)
{
    const KnownVersions own = versions();
    const bool storeAway = !core_.service<RosterKeeper>("roster").storeAnswers();
    const bool newer = theirs.config > own.config || (storeAway && theirs.roster > own.roster);
    const SteadyTime now = core_.clock.now();
    if (newer && now >= askAgainAt_) {
        askAgainAt_ = now + askPause;
        core_.service<PeerHub>("peers").reply(link, NewsRequest{own});
    }
}

void NewsService::handleRequest(LinkId link, const NewsRequest &request)
{
    const KnownVersions own = versions();
    News news;
    news.versions = own;
    if (own.config > request.versions.config) {
        news.config = core_.service<ConfigFollower>("config").current()->source;
    }
    if (own.roster > request.versions.roster) {
        for (const RosterEntry *entry : core_.service<RosterKeeper>("roster").roster().all()) {
            news.roster.push_back(*entry);
        }
    }
    core_.service<PeerHub>("peers").reply(link, news);
}

void NewsService::handleNews(const NodeRef &from, const News &news)
{
    if (!news.config.empty()) {
        core_.service<ConfigFollower>("config").take(news.config, from.id);
    }
    core_.service<RosterKeeper>("roster").takeList(news.roster, news.versions.roster);
}

} // namespace waxwing
