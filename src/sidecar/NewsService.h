#pragma once

#include "include/base/Clock.h"
#include "include/wire/Messages.h"
#include "src/link/PeerHub.h"

#include <map>

namespace waxwing {

struct NodeCore;

/**
 * Lets nodes learn from each other what the store has not told them: every message about work carries the versions that
 * its sender holds, and who sees a higher one asks for it. So a node that the store turns away, or whose watch went
 * silent, is as current as the nodes it works with. Not thread safe.
 */
class NewsService
{
public:
    explicit NewsService(NodeCore &core);
    /** What this node holds. */
    KnownVersions versions() const;
    /** A link opened: a node that knows nothing, or is turned away by the store, asks whoever is there. */
    void linkOpened(LinkId link);
    /** The node at the other end of @p link holds these. */
    void heard(LinkId link, const KnownVersions &theirs);
    void handleRequest(LinkId link, const NewsRequest &request);
    void handleNews(const NodeRef &from, const News &news);

private:
    NodeCore &core_;
    /** Not asked again before this time, so that each answer can arrive first. */
    SteadyTime askAgainAt_;
};

} // namespace waxwing
