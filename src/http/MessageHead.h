#pragma once

#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace waxwing {

/**
 * Finds header lines that begin with a blank or a tab. Such a line used to continue the value before it. This folding
 * is obsolete (RFC 9112, section 5.2), but the library's parser still does it: a length or coding in a folded line
 * would be lost, and the body would end elsewhere than its sender meant. Not thread safe.
 */
class FoldedLineDetector
{
public:
    /** Adds the next bytes of a head. Returns true if one of the lines so far, other than the first, is folded. */
    bool add(std::string_view bytes);

private:
    char last_ = 0;
    bool isFound_ = false;
};

/**
 * Returns true if the body has a coding other than chunks alone. It would reach the next receiver in that coding, but
 * without the header that names it, or end elsewhere than its sender meant. Thread safe.
 */
bool hasUnknownCoding(const boost::beast::http::fields &fields);

} // namespace waxwing
