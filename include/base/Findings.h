#pragma once

#include <string>
#include <vector>

namespace waxwing {

/** One error in a document: its place (file:line or JSON pointer) and a description. */
struct Finding {
    std::string place;
    std::string message;
};

/** Collects all errors of a document, so that an operator sees all of them at once. Not thread safe. */
class Findings
{
public:
    /** Adds an error at @p place. */
    void add(std::string place, std::string message);
    /** Adds all errors of @p other, with @p prefix before each place. */
    void addAll(const Findings &other, const std::string &prefix = {});
    bool empty() const;
    const std::vector<Finding> &all() const;
    /** Returns one "place: message" line for each error. */
    std::string text() const;

private:
    std::vector<Finding> all_;
};

} // namespace waxwing
