#pragma once

#include "include/base/Error.h"

#include <any>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace waxwing {

/**
 * The micro-kernel: holds the services of one process by name, and runs the steps of the graceful shutdown. Not thread
 * safe: the node's thread only.
 */
class Kernel
{
public:
    /**
     * Registers @p service under @p name. Errors: Conflict if the name is taken. @pre @p service outlives the kernel.
     */
    template<typename T>
    Expected<void> provide(const std::string &name, T &service)
    {
        return provideAny(name, std::any(&service));
    }

    /** Returns the service of that name and type. Errors: NotFound; Malformed if its type differs. */
    template<typename T>
    Expected<T *> find(const std::string &name) const
    {
        const auto found = services_.find(name);
        if (found == services_.end()) {
            return fail(ErrorCode::NotFound, "no service named " + name);
        }
        T *const *service = std::any_cast<T *>(&found->second);
        if (service == nullptr) {
            return fail(ErrorCode::Malformed, "service " + name + " has another type");
        }
        return *service;
    }

    /** Adds a step of the graceful shutdown. The last added step runs first. */
    void onStop(std::function<void()> step);
    /** Runs the shutdown steps. Each step runs once, even if stop() is called again. */
    void stop();

private:
    Expected<void> provideAny(const std::string &name, std::any service);

    std::map<std::string, std::any> services_;
    std::vector<std::function<void()>> stopSteps_;
};

} // namespace waxwing
