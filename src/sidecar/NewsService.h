#pragma once

#include "include/base/Clock.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"

#include <map>
#include <optional>
#include <set>

namespace waxwing {

struct NodeCore;

/**
 * Lets nodes learn from each other what the store has not told them. Every message about work carries the versions that
 * its sender holds and how long ago it was known that no newer configuration existed. Who holds the same is confirmed
 * by that; who sees a higher version asks the store, and the other node if the store does not answer here. So a node
 * that the store turns away, or whose watch went silent, is as current as the nodes it works with.
 *
 * A node that follows its region's watchers has nothing but their word. It asks them, and takes as the age of their
 * word that of its own question: a message that was held up on its way confirms nothing there. Not thread safe.
 */
class NewsService
{
public:
    explicit NewsService(NodeCore &core);
    /** Starts the fiber that asks. */
    void start();
    /** What this node holds. */
    KnownVersions versions();
    void linkOpened(LinkId link);
    void linkClosed(LinkId link);
    /** A message about work came on @p link from a node that holds these. */
    void heard(LinkId link, const KnownVersions &theirs);
    void handleRequest(LinkId link, const NewsRequest &request);
    void handleNews(LinkId link, const NodeRef &from, const News &news);
    /** The configuration changed: if this node watches the store for its region, tells the region's nodes. */
    void configChanged();

private:
    /** Somebody holds a higher version. */
    struct Newer {
        LinkId link = 0;
        std::uint64_t version = 0;
        SteadyTime since;
    };

    struct Question {
        std::uint64_t id = 0;
        SteadyTime sentAt;
    };

    void noteNewer(LinkId link, const KnownVersions &theirs);
    void confirmBy(const KnownVersions &theirs, SteadyTime sentAfter);
    void run();
    void askIfNeeded();
    /** The link to ask for the configuration itself; nothing as long as the store is likely to bring it. */
    std::optional<LinkId> whomToAskForConfig();
    std::optional<LinkId> anyLink();
    /** Whom to ask which versions it holds: a watcher, unless it has left a question unanswered. */
    std::optional<LinkId> whomToAskForVersions();
    bool isFollower() const;
    void ask(LinkId link, bool wantsConfig, bool wantsRoster);
    bool isStoreAway() const;

    NodeCore &core_;
    std::set<LinkId> links_;
    SteadyTime started_;
    std::optional<Newer> newerConfig_;
    /** A question for the configuration is under way until then, and no second one is sent. */
    std::optional<LinkId> copyAskedOn_;
    SteadyTime copyUntil_;
    /** The oldest question that is unanswered on each link. */
    std::map<LinkId, Question> asked_;
    std::uint64_t nextQuestion_ = 1;
    SteadyTime lastAsked_;
    SteadyTime lookAskedAt_;
};

} // namespace waxwing
