#include "include/base/DurationText.h"

#include <array>
#include <charconv>

namespace waxwing {

namespace {

struct Unit {
    const char *name;
    std::int64_t millis;
};

constexpr std::array<Unit, 4> units = {Unit{"h", 3600000}, Unit{"m", 60000}, Unit{"s", 1000}, Unit{"ms", 1}};
constexpr std::int64_t maxCount = 100000000;

} // namespace

Expected<Millis> parseDuration(const std::string &text)
{
    std::int64_t count = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, count);
    if (parsed.ec != std::errc() || count < 0 || count > maxCount) {
        return fail(ErrorCode::Malformed, "not a duration such as 250ms, 3s, 10m or 1h: \"" + text + "\"");
    }
    const std::string unit(parsed.ptr, end);
    for (const Unit &known : units) {
        if (unit == known.name) {
            return Millis(count * known.millis);
        }
    }
    return fail(ErrorCode::Malformed, "a duration needs a unit (ms, s, m, h): \"" + text + "\"");
}

std::string durationText(Millis value)
{
    for (const Unit &unit : units) {
        if (value.count() != 0 && value.count() % unit.millis == 0) {
            return std::to_string(value.count() / unit.millis) + unit.name;
        }
    }
    return "0ms";
}

} // namespace waxwing
