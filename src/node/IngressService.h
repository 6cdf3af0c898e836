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
 * Callers' side of a node: finds the class of a request, has it run, and tells the caller how it ended in the
 * status and in the header Waxwing-Outcome. Every refusal is answered at once. Not thread safe.
 */
class IngressService
{
public:
    /** @pre "intents", "dispatch", "claims" and "burn" are in the kernel. */
    explicit IngressService(NodeCore &core);
    /** Handles one caller's request. @pre called from a fiber. */
    HttpReply handle(HttpRequest request, const CallerWatchPtr &caller);
    /** Handles an Exec that another node sent; answers on its link. */
    void handleExec(LinkId link, const Exec &exec);
    /** The other node no longer wants the answer. */
    void handleCancel(LinkId link, std::uint64_t id);
    std::size_t running() const;

private:
    struct Admitted;

    ExecReply runAdmitted(const Admitted &admitted, const CallerWatchPtr &caller);
    HttpReply answer(const Admitted &admitted, ExecReply reply, Duration took);
    HttpReply refuse(unsigned status, const std::string &reason, const std::string &message, Millis retryAfter);
    void record(const Admitted &admitted, const ExecReply &reply, Duration took);

    NodeCore &core_;
    std::map<std::pair<LinkId, std::uint64_t>, RunControlPtr> remote_;
    std::size_t running_ = 0;
};

} // namespace waxwing
