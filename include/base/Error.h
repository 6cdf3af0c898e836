#pragma once

#include <string>
#include <tl/expected.hpp>

namespace waxwing {

enum class ErrorCode {
    Malformed,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    Refused,
    Internal,
};

/** Name of @p code as it stands in logs and JSON. Thread safe. */
const char *errorCodeName(ErrorCode code);

/** What went wrong and where. */
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

template<typename T>
using Expected = tl::expected<T, Error>;

/** Shorthand for a failed Expected. Thread safe. */
tl::unexpected<Error> fail(ErrorCode code, std::string message);

} // namespace waxwing
