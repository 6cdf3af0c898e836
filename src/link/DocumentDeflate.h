#pragma once

#include "include/base/Error.h"

#include <cstddef>
#include <string>

namespace waxwing {

/**
 * Compresses a document that is sent to several nodes, so that this is done once and not once per link. Throws
 * std::runtime_error if zlib has no memory. Thread safe.
 */
std::string deflateDocument(const std::string &document);

/**
 * Reverses deflateDocument(). Errors: Malformed, if @p bytes are not one whole stream or the document would be longer
 * than @p maxBytes. Thread safe.
 */
Expected<std::string> inflateDocument(const std::string &bytes, std::size_t maxBytes);

} // namespace waxwing
