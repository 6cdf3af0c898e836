#include "include/base/Cbor.h"

#include <limits>

namespace waxwing {

namespace {

/** Far more than any value of ours has. */
constexpr std::size_t maxNesting = 64;
/** Items left in an array or map that ends with a break. */
constexpr std::uint64_t untilBreak = std::numeric_limits<std::uint64_t>::max();

enum MajorType : unsigned {
    ByteString = 2,
    TextString = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
};

/** Reads the heads of CBOR items (RFC 8949, section 3) one after the other. */
class CborHeads
{
public:
    explicit CborHeads(std::string_view bytes)
        : bytes_(bytes)
    { }

    /** Reads the next head, and skips the content of a string. Returns false at the end or at an invalid head. */
    bool next()
    {
        if (at_ >= bytes_.size()) {
            return false;
        }
        const auto first = static_cast<std::uint8_t>(bytes_[at_++]);
        constexpr unsigned infoBits = 5;
        constexpr unsigned infoMask = 31;
        constexpr unsigned firstLong = 24;
        constexpr unsigned lastLong = 27;
        type_ = first >> infoBits;
        const unsigned info = first & infoMask;
        isOpenEnded_ = info == infoMask;
        argument_ = info;
        if (info > lastLong && !isOpenEnded_) {
            return false;
        }
        if (info >= firstLong && info <= lastLong && !readArgument(std::size_t{1} << (info - firstLong))) {
            return false;
        }
        const bool isString = type_ == ByteString || type_ == TextString;
        if (isString && !isOpenEnded_) {
            if (argument_ > bytes_.size() - at_) {
                return false;
            }
            at_ += argument_;
        }
        return true;
    }

    unsigned type() const
    {
        return type_;
    }
    std::uint64_t argument() const
    {
        return argument_;
    }
    bool isOpenEnded() const
    {
        return isOpenEnded_;
    }

private:
    bool readArgument(std::size_t length)
    {
        if (bytes_.size() - at_ < length) {
            return false;
        }
        constexpr unsigned byteBits = 8;
        argument_ = 0;
        for (std::size_t i = 0; i < length; ++i) {
            argument_ = argument_ << byteBits | static_cast<std::uint8_t>(bytes_[at_++]);
        }
        return true;
    }

    std::string_view bytes_;
    std::size_t at_ = 0;
    unsigned type_ = 0;
    std::uint64_t argument_ = 0;
    bool isOpenEnded_ = false;
};

/** Returns true if the parser would open more than maxNesting items at once before it ends or fails. */
bool isNestedTooDeeply(std::string_view bytes)
{
    CborHeads heads(bytes);
    /** Items that are left in each open array or map. */
    std::vector<std::uint64_t> open;
    while (heads.next()) {
        const bool isBreak = heads.type() > Tag && heads.isOpenEnded();
        if (isBreak && !open.empty() && open.back() == untilBreak) {
            open.pop_back();
        } else if (!open.empty() && open.back() != untilBreak) {
            --open.back();
        }
        const bool isList = heads.type() == Array || heads.type() == Map;
        const std::uint64_t items = heads.type() == Map ? 2 * heads.argument() : heads.argument();
        if (heads.type() == Tag) {
            open.push_back(1);
        } else if (!isBreak && heads.isOpenEnded()) {
            open.push_back(untilBreak);
        } else if (isList && items > 0) {
            open.push_back(items);
        }
        if (open.size() > maxNesting) {
            return true;
        }
        while (!open.empty() && open.back() == 0) {
            open.pop_back();
        }
        if (open.empty()) {
            return false;
        }
    }
    return false;
}

} // namespace

nlohmann::json parseCbor(std::string_view bytes)
{
    if (isNestedTooDeeply(bytes)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    // Without exceptions, the library still throws one for an array that states more items than memory can hold.
    try {
        return nlohmann::json::from_cbor(bytes.begin(), bytes.end());
    } catch (const nlohmann::json::exception &) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
}

nlohmann::json parseCbor(const std::vector<std::uint8_t> &bytes)
{
    return parseCbor(std::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
}

} // namespace waxwing
