#pragma once

#include "cedarpoint/config/fault.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// Parses JSON with comments; rejects duplicate keys and nesting deeper than `max_json_depth`.
/// Returns nothing if the text is invalid, with the faults appended to `out`.
std::optional<nlohmann::json> parse_json(std::string_view text, faults& out);

/// Limit on nesting, in levels; bounds any recursion over a parsed value.
inline constexpr int max_json_depth = 64;

/// The values that an integer key accepts, both ends included.
struct int_range {
    std::int64_t low = 0;
    std::int64_t high = std::numeric_limits<std::int64_t>::max();
};

/// Reads one JSON object key by key and records every fault instead of stopping at the first.
/// The caller reads each supported key, then calls `finish`, which reports all other keys.
class json_reader {
public:
    /// `path` is the JSON pointer of `value`; both `value` and `out` must outlive the reader.
    json_reader(const nlohmann::json& value, std::string path, faults& out);

    // Getters. Each records a fault if the value has the wrong type or is out of range; those
    // without a fallback also if the key is missing. They then return the fallback, an empty value
    // or the lower bound, so that the caller can go on reading.
    std::string string(const char* key);
    std::string string_or(const char* key, std::string fallback);
    std::int64_t integer(const char* key, int_range range);
    std::int64_t integer_or(const char* key, std::int64_t fallback, int_range range);
    double number_or(const char* key, double fallback, double low, double high);
    bool boolean_or(const char* key, bool fallback);
    std::vector<std::string> strings_or_empty(const char* key);

    /// Calls `visit` with a reader for each object in the array under `key`; an absent key counts
    /// as an empty array.
    void for_each_object(const char* key, const std::function<void(json_reader&)>& visit);
    /// Calls `visit` with a reader for the object under `key`, if the key is present.
    void visit_object(const char* key, const std::function<void(json_reader&)>& visit);

    /// Records a fault of the value under `key`.
    void add_fault(const char* key, std::string text);
    /// Records a fault for each key of the object that was not read.
    void finish();
    [[nodiscard]] bool has(const char* key) const;
    [[nodiscard]] const std::string& path() const { return path_; }

private:
    /// Returns the value under `key`, or null, and marks the key as known. A missing key is a fault
    /// if it is required.
    const nlohmann::json* find(const char* key, bool required);

    const nlohmann::json& value_;
    std::string path_;
    faults& out_;
    std::set<std::string, std::less<>> known_keys_;
};

} // namespace cedarpoint
