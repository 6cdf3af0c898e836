#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace waxwing {

/**
 * The bytes of one message body. They never change, and all copies share them: a body is in memory once, however many
 * attempts, queues and messages hold it. The bytes are thread safe; one Body object is not.
 */
class Body
{
public:
    Body() = default;
    // Implicit, so that a text is a body wherever one is expected.
    Body(std::string text); // NOLINT(google-explicit-constructor)
    Body(const char *text); // NOLINT(google-explicit-constructor)
    /** @p charge: destroyed together with the bytes, such as their share of a memory budget. */
    Body(std::string text, std::shared_ptr<const void> charge);

    const std::string &text() const;
    operator const std::string &() const; // NOLINT(google-explicit-constructor)
    std::string::const_iterator begin() const;
    std::string::const_iterator end() const;
    std::size_t size() const;
    bool empty() const;
    /** Drops this reference to the bytes. */
    void clear();

private:
    struct Storage {
        std::string text;
        std::shared_ptr<const void> charge;
    };

    std::shared_ptr<const Storage> storage_;
};

bool operator==(const Body &a, const Body &b);
bool operator!=(const Body &a, const Body &b);

} // namespace waxwing
