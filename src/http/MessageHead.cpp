#include "src/http/MessageHead.h"

namespace waxwing {

bool FoldedLineDetector::add(std::string_view bytes)
{
    for (const char byte : bytes) {
        isFound_ = isFound_ || (last_ == '\n' && (byte == ' ' || byte == '\t'));
        last_ = byte;
    }
    return isFound_;
}

} // namespace waxwing
