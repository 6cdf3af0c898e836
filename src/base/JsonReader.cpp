#include "include/base/JsonReader.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace waxwing {

namespace {
const nlohmann::json nullValue;
}

JsonReader::JsonReader(const nlohmann::json &value, std::string place, Findings &findings)
    : value_(value)
    , place_(std::move(place))
    , findings_(findings)
{
    if (!value_.is_object()) {
        findings_.add(place_.empty() ? "/" : place_, "must be an object");
    }
}

bool JsonReader::has(const std::string &key) const
{
    return value_.is_object() && value_.contains(key);
}

std::string JsonReader::placeOf(const std::string &key) const
{
    return place_ + "/" + key;
}

const nlohmann::json *JsonReader::field(const std::string &key)
{
    if (!value_.is_object()) {
        return nullptr;
    }
    const auto found = value_.find(key);
    if (found == value_.end()) {
        return nullptr;
    }
    read_.push_back(&*found);
    return read_.back();
}

std::string JsonReader::textOf(const nlohmann::json &value, const std::string &key, const std::string &fallback)
{
    if (!value.is_string()) {
        findings_.add(placeOf(key), "must be a string");
        return fallback;
    }
    return value.get_ref<const std::string &>();
}

std::string JsonReader::text(const std::string &key, const std::string &fallback)
{
    const nlohmann::json *found = field(key);
    return found == nullptr ? fallback : textOf(*found, key, fallback);
}

std::string JsonReader::requiredText(const std::string &key)
{
    const nlohmann::json *found = field(key);
    if (found == nullptr) {
        findings_.add(placeOf(key), "is missing");
        return {};
    }
    return textOf(*found, key, {});
}

bool JsonReader::boolean(const std::string &key, bool fallback)
{
    const nlohmann::json *found = field(key);
    if (found != nullptr && !found->is_boolean()) {
        findings_.add(placeOf(key), "must be true or false");
        return fallback;
    }
    return found == nullptr ? fallback : found->get<bool>();
}

std::int64_t JsonReader::integer(const std::string &key, std::int64_t fallback, std::int64_t min, std::int64_t max)
{
    const nlohmann::json *found = field(key);
    if (found == nullptr) {
        return fallback;
    }
    const bool tooLarge =
        found->is_number_unsigned()
        && found->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!found->is_number_integer() || tooLarge || found->get<std::int64_t>() < min
        || found->get<std::int64_t>() > max) {
        findings_.add(placeOf(key),
                      "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return fallback;
    }
    return found->get<std::int64_t>();
}

double JsonReader::number(const std::string &key, double fallback, double min, double max)
{
    const nlohmann::json *found = field(key);
    if (found == nullptr) {
        return fallback;
    }
    // A value of another type counts as out of range.
    const double value = found->is_number() ? found->get<double>() : min - 1.0;
    if (value < min || value > max) {
        std::ostringstream range;
        range << "must be a number from " << min << " to " << max;
        findings_.add(placeOf(key), range.str());
        return fallback;
    }
    return value;
}

Millis JsonReader::duration(const std::string &key, Millis fallback, Millis min, Millis max)
{
    const nlohmann::json *found = field(key);
    if (found == nullptr) {
        return fallback;
    }
    const auto parsed = found->is_string() ? parseDuration(found->get<std::string>())
                                           : fail(ErrorCode::Malformed, "must be a duration such as \"250ms\"");
    if (!parsed) {
        findings_.add(placeOf(key), parsed.error().message);
        return fallback;
    }
    if (*parsed < min || *parsed > max) {
        findings_.add(placeOf(key), "must be from " + durationText(min) + " to " + durationText(max));
        return fallback;
    }
    return *parsed;
}

double JsonReader::percentage(const std::string &key, double fallback)
{
    const nlohmann::json *found = field(key);
    if (found == nullptr) {
        return fallback;
    }
    const auto parsed = found->is_string() ? parsePercentage(found->get<std::string>())
                                           : fail(ErrorCode::Malformed, "must be a percentage such as \"99.9%\"");
    if (!parsed) {
        findings_.add(placeOf(key), parsed.error().message);
        return fallback;
    }
    return *parsed;
}

const nlohmann::json &JsonReader::child(const std::string &key)
{
    const nlohmann::json *found = field(key);
    return found == nullptr ? nullValue : *found;
}

void JsonReader::rejectUnknown()
{
    if (!value_.is_object()) {
        return;
    }
    for (const auto &item : value_.items()) {
        if (std::find(read_.begin(), read_.end(), &item.value()) == read_.end()) {
            findings_.add(placeOf(item.key()), "unknown field");
        }
    }
}

std::string placeInText(const std::string &text, std::size_t bytes, const std::string &source)
{
    const std::size_t end = std::min(bytes > 0 ? bytes - 1 : 0, text.size());
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n');
    const std::size_t lastBreak = end == 0 ? std::string::npos : text.rfind('\n', end - 1);
    const std::size_t column = lastBreak == std::string::npos ? end + 1 : end - lastBreak;
    return source + ":" + std::to_string(line) + ":" + std::to_string(column);
}

nlohmann::json parseJsonWithComments(const std::string &text, const std::string &source, Findings &findings)
{
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        findings.add(placeInText(text, error.byte, source), error.what());
        return {};
    } catch (const nlohmann::json::exception &error) {
        // A number beyond all doubles is no syntax error to the library.
        findings.add(source, error.what());
        return {};
    }
}

Expected<double> parsePercentage(const std::string &text)
{
    char *end = nullptr;
    const double percent = std::strtod(text.c_str(), &end);
    if (end == text.c_str() || std::string(end) != "%" || !(percent >= 0.0 && percent <= 100.0)) {
        return fail(ErrorCode::Malformed, "not a percentage from 0% to 100%: \"" + text + "\"");
    }
    return percent / 100.0;
}

} // namespace waxwing
