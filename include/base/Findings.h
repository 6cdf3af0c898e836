#pragma once

#include <string>
#include <vector>

namespace waxwing {

/** One fault in a document: its place (file:line or JSON pointer) and what is wrong there. */
struct Finding {
    std::string place;
    std::string message;
};

/** Collects every fault of a document, so that an operator sees all of them at once. Not thread safe. */
class Findings
{
public:
    /** Adds a fault at @p place. */
    void add(std::string place, std::string message);
    /** Adds all faults of @p other, each place prefixed by @p prefix. */
    void addAll(const Findings &other, const std::string &prefix = {});
    bool empty() const;
    const std::vector<Finding> &all() const;
    /** One "place: message" line for each fault. */
    std::string text() const;

private:
    std::vector<Finding> all_;
};

} // namespace waxwing
