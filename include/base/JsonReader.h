#pragma once

#include "include/base/DurationText.h"
#include "include/base/Findings.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/**
 * Reads the fields of one JSON object. Adds a finding, with its JSON pointer, for each missing, mistyped, out-of-range
 * or unknown field. Not thread safe. The object and the findings must outlive the reader.
 */
class JsonReader
{
public:
    /** Adds a finding at @p place if @p value is not an object. */
    JsonReader(const nlohmann::json &value, std::string place, Findings &findings);

    bool has(const std::string &key) const;
    /**
     * Each of these returns @p fallback if the field is missing or invalid, and adds a finding if it is invalid.
     * requiredText() returns an empty text instead, and also adds a finding if the field is missing. @p min and @p max
     * are valid values.
     */
    std::string text(const std::string &key, const std::string &fallback);
    std::string requiredText(const std::string &key);
    bool boolean(const std::string &key, bool fallback);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t min, std::int64_t max);
    double number(const std::string &key, double fallback, double min, double max);
    Millis duration(const std::string &key, Millis fallback, Millis min, Millis max);
    /** Reads a percentage such as "99.9%" as a fraction of 1. */
    double percentage(const std::string &key, double fallback);
    /** Returns the nested value, or null, and marks it as read. */
    const nlohmann::json &child(const std::string &key);
    /** Returns the JSON pointer of the field @p key. */
    std::string placeOf(const std::string &key) const;
    /** Adds a finding for each field that was never read. Call last. */
    void rejectUnknown();

private:
    /** Returns the field and marks it as read; null if there is none. */
    const nlohmann::json *field(const std::string &key);
    std::string textOf(const nlohmann::json &value, const std::string &key, const std::string &fallback);

    const nlohmann::json &value_;
    std::string place_;
    Findings &findings_;
    /** Fields that were read. Addresses take no allocation each, unlike names. */
    std::vector<const nlohmann::json *> read_;
};

/** Returns @p source:line:column of the last of the first @p bytes of @p text. Thread safe. */
std::string placeInText(const std::string &text, std::size_t bytes, const std::string &source);
/** Parses JSON with comments. A syntax error becomes a finding at line:column of @p source. */
nlohmann::json parseJsonWithComments(const std::string &text, const std::string &source, Findings &findings);
/** Parses "99.9%" as 0.999. Errors: Malformed unless from 0% to 100%. Thread safe. */
Expected<double> parsePercentage(const std::string &text);

} // namespace waxwing
