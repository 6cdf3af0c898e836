#include "src/http/MessageHead.h"

#include <boost/beast/core/string.hpp>

namespace waxwing {

namespace beast = boost::beast;
namespace http = beast::http;

bool FoldedLineDetector::add(std::string_view bytes)
{
    for (const char byte : bytes) {
        isFound_ = isFound_ || (last_ == '\n' && (byte == ' ' || byte == '\t'));
        last_ = byte;
    }
    return isFound_;
}

bool hasUnknownCoding(const http::fields &fields)
{
    const auto codings = fields.count(http::field::transfer_encoding);
    return codings > 1 || (codings == 1 && !beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

} // namespace waxwing
