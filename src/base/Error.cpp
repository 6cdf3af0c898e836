#include "include/base/Error.h"

namespace waxwing {

const char *errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Malformed:
        return "malformed";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Refused:
        return "refused";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

tl::unexpected<Error> fail(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error{code, std::move(message)});
}

} // namespace waxwing
