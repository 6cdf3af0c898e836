#pragma once

#include "src/http/HttpServer.h"

#include <functional>
#include <map>
#include <string>

namespace waxwing {

struct NodeCore;

/** HTTP API of a node for the announcements of backend servers and for operator tools. Not thread safe. */
class OperatorApi
{
public:
    /** @pre every service of a node is in the kernel. */
    explicit OperatorApi(NodeCore &core);
    /** Handles one request. @pre called from a fiber. */
    HttpReply handle(const HttpRequest &request);

private:
    using View = std::function<std::string(const std::string &argument)>;

    std::string status() const;
    std::string nodes() const;
    std::string config(const std::string &service) const;
    std::string explain(const std::string &subject) const;
    std::string newestEvents(const std::string &count) const;

    NodeCore &core_;
    std::map<std::string, View> views_;
};

} // namespace waxwing
