#pragma once

#include <string>

namespace waxwing {

/** What a request presents to show which customer sent it. */
struct Credential {
    enum class Kind {
        None,
        /** More than one, another scheme, or not in the form of a key. */
        Malformed,
        Key,
    };

    Kind kind = Kind::None;
    /** A secret: never logged, counted, or sent to another node. */
    std::string key;
};

} // namespace waxwing
