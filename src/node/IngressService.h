#pragma once

#include "include/report/BurnRecorder.h"
#include "include/wire/Messages.h"
#include "src/http/HttpServer.h"
#include "src/link/PeerHub.h"
#include "src/node/RunControl.h"

#include <map>
#include <memory>
#include <string>

namespace waxwing {

struct NodeCore;
struct ClassIntent;
struct ServiceIntent;

/**
 * Caller-facing side of a node: classifies each request, runs it, and reports how it ended in the status and in the
 * header Waxwing-Outcome. Its own refusals are returned without delay. Not thread safe.
 */
class IngressService
{
public:
    /** @pre "intents", "dispatch", "claims" and "burn" are in the kernel. */
    explicit IngressService(NodeCore &core);
    /** Handles one caller's request. @pre called from a fiber. */
    HttpReply handle(HttpRequest request, const CallerWatchPtr &caller);
    /** Handles an Exec from another node and replies on its link. */
    void handleExec(LinkId link, const Exec &exec);
    /** Cancels an Exec whose reply the other node no longer needs. */
    void handleCancel(LinkId link, std::uint64_t id);
    std::size_t running() const;

private:
    struct Admitted;

    ExecReply runAdmitted(const Admitted &admitted, const CallerWatchPtr &caller);
    HttpReply makeReply(const Admitted &admitted, ExecReply reply, Duration took);
    HttpReply refuse(unsigned status, const std::string &reason, const std::string &message, Millis retryAfter);
    void record(const Admitted &admitted, const ExecReply &reply, Duration took);

    NodeCore &core_;
    std::map<std::pair<LinkId, std::uint64_t>, RunControlPtr> remote_;
    std::size_t running_ = 0;
};

} // namespace waxwing
