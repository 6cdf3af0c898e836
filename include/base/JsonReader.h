#pragma once

#include "include/base/DurationText.h"
#include "include/base/Findings.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace waxwing {

/**
 * Reads the fields of one JSON object and collects a finding, with its JSON pointer, for each missing, mistyped,
 * out-of-range or unknown one. Not thread safe. The object and the findings must outlive the reader.
 */
class JsonReader
{
public:
    /** @pre none: a value that is no object is itself a finding. */
    JsonReader(const nlohmann::json &value, std::string place, Findings &findings);

    bool has(const std::string &key) const;
    /** Each of these returns @p fallback, and adds a finding, when the field is there but wrong. */
    std::string text(const std::string &key, const std::string &fallback);
    std::string requiredText(const std::string &key);
    bool boolean(const std::string &key, bool fallback);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t min, std::int64_t max);
    Millis duration(const std::string &key, Millis fallback, Millis min, Millis max);
    /** A share such as "99.9%" as a fraction of one. */
    double percentage(const std::string &key, double fallback);
    /** The nested value, or null; counts as read. */
    const nlohmann::json &child(const std::string &key);
    /** JSON pointer of the field @p key. */
    std::string placeOf(const std::string &key) const;
    /** Adds a finding for each field that was never read. Call last. */
    void rejectUnknown();

private:
    const nlohmann::json *field(const std::string &key);

    const nlohmann::json &value_;
    std::string place_;
    Findings &findings_;
    std::set<std::string> read_;
};

/** Parses JSON with comments; a syntax error becomes a finding at line:column of @p source. */
nlohmann::json parseJsonWithComments(const std::string &text, const std::string &source, Findings &findings);
/** Reads "99.9%" as 0.999. Errors: Malformed unless between 0% and 100%. Thread safe. */
Expected<double> parsePercentage(const std::string &text);

} // namespace waxwing
