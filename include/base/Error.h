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

/** Returns the name of @p code that logs and JSON use. Thread safe. */
const char *errorCodeName(ErrorCode code);

/** An error code with a description. */
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

template<typename T>
using Expected = tl::expected<T, Error>;

/** Returns a failed Expected. Thread safe. */
tl::unexpected<Error> fail(ErrorCode code, std::string message);

} // namespace waxwing
