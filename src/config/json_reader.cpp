#include "cedarpoint/config/json_reader.h"

#include <fmt/format.h>

namespace cedarpoint {
namespace {

using json = nlohmann::json;

/// Parser callback that rejects duplicate keys and deep nesting, which the library accepts.
class strict_parser_callback {
public:
    explicit strict_parser_callback(faults& out) : out_{out} {}

    bool operator()(int depth, json::parse_event_t event, json& value)
    {
        if (depth > max_json_depth) {
            report(fmt::format("more than {} levels", max_json_depth));
            return false;
        }
        if (event == json::parse_event_t::object_start) {
            keys_.emplace_back();
        }
        else if (event == json::parse_event_t::object_end) {
            keys_.pop_back();
        }
        else if (event == json::parse_event_t::key &&
                 !keys_.back().insert(value.get<std::string>()).second) {
            report("key \"" + value.get<std::string>() + "\" stands twice");
        }
        return true;
    }

private:
    /// Records the first fault only: nesting that is too deep is found again at every deeper level.
    void report(std::string text)
    {
        if (out_.empty()) {
            out_.push_back({"", std::move(text)});
        }
    }

    faults& out_;
    std::vector<std::set<std::string>> keys_; ///< seen so far in each open object, outermost first
};

} // namespace

std::optional<json> parse_json(std::string_view text, faults& out)
{
    faults found;
    try {
        strict_parser_callback callback{found};
        auto value = json::parse(
            text,
            [&](int depth, json::parse_event_t event, json& it) {
                return callback(depth, event, it);
            },
            /*allow_exceptions=*/true, /*ignore_comments=*/true);
        if (found.empty()) {
            return value;
        }
    }
    catch (const json::exception& e) {
        found.push_back({"", e.what()});
    }
    out.insert(out.end(), found.begin(), found.end());
    return {};
}

json_reader::json_reader(const json& value, std::string path, faults& out)
    : value_{value}, path_{std::move(path)}, out_{out}
{
    if (!value_.is_object()) {
        out_.push_back({path_, "must be an object"});
    }
}

bool json_reader::has(const char* key) const
{
    return value_.is_object() && value_.contains(key);
}

const json* json_reader::find(const char* key, bool required)
{
    known_keys_.insert(key);
    if (has(key)) {
        return &value_[key];
    }
    if (required && value_.is_object()) {
        add_fault(key, "is missing");
    }
    return nullptr;
}

void json_reader::add_fault(const char* key, std::string text)
{
    out_.push_back({path_ + "/" + key, std::move(text)});
}

std::string json_reader::string(const char* key)
{
    const auto* it = find(key, true);
    if (it == nullptr) {
        return {};
    }
    if (!it->is_string() || it->get_ref<const std::string&>().empty()) {
        add_fault(key, "must be a string that is not empty");
        return {};
    }
    return it->get<std::string>();
}

std::string json_reader::string_or(const char* key, std::string fallback)
{
    const auto* it = find(key, false);
    if (it == nullptr) {
        return fallback;
    }
    if (!it->is_string()) {
        add_fault(key, "must be a string");
        return fallback;
    }
    return it->get<std::string>();
}

std::int64_t json_reader::integer(const char* key, int_range range)
{
    const auto* it = find(key, true);
    if (it == nullptr) {
        return range.low;
    }
    // An unsigned value above the range of int64_t would wrap around in get<std::int64_t>().
    const bool fits = it->is_number_integer() &&
                      (!it->is_number_unsigned() ||
                       it->get<std::uint64_t>() <= static_cast<std::uint64_t>(range.high)) &&
                      it->get<std::int64_t>() >= range.low && it->get<std::int64_t>() <= range.high;
    if (!fits) {
        add_fault(key, fmt::format("must be a whole number from {} to {}", range.low, range.high));
        return range.low;
    }
    return it->get<std::int64_t>();
}

std::int64_t json_reader::integer_or(const char* key, std::int64_t fallback, int_range range)
{
    return find(key, false) == nullptr ? fallback : integer(key, range);
}

double json_reader::number_or(const char* key, double fallback, double low, double high)
{
    const auto* it = find(key, false);
    if (it == nullptr) {
        return fallback;
    }
    if (!it->is_number() || it->get<double>() < low || it->get<double>() > high) {
        add_fault(key, fmt::format("must be a number from {} to {}", low, high));
        return fallback;
    }
    return it->get<double>();
}

bool json_reader::boolean_or(const char* key, bool fallback)
{
    const auto* it = find(key, false);
    if (it == nullptr) {
        return fallback;
    }
    if (!it->is_boolean()) {
        add_fault(key, "must be true or false");
        return fallback;
    }
    return it->get<bool>();
}

std::vector<std::string> json_reader::strings_or_empty(const char* key)
{
    std::vector<std::string> out;
    const auto* it = find(key, false);
    if (it == nullptr) {
        return out;
    }
    if (!it->is_array()) {
        add_fault(key, "must be an array of strings");
        return out;
    }
    for (const auto& element : *it) {
        if (!element.is_string()) {
            add_fault(key, "must be an array of strings");
            return out;
        }
        out.push_back(element.get<std::string>());
    }
    return out;
}

void json_reader::for_each_object(const char* key, const std::function<void(json_reader&)>& visit)
{
    const auto* it = find(key, false);
    if (it == nullptr) {
        return;
    }
    if (!it->is_array()) {
        add_fault(key, "must be an array of objects");
        return;
    }
    for (std::size_t n = 0; n < it->size(); ++n) {
        json_reader element{(*it)[n], fmt::format("{}/{}/{}", path_, key, n), out_};
        visit(element);
        element.finish();
    }
}

void json_reader::visit_object(const char* key, const std::function<void(json_reader&)>& visit)
{
    const auto* it = find(key, false);
    if (it == nullptr) {
        return;
    }
    json_reader element{*it, path_ + "/" + key, out_};
    visit(element);
    element.finish();
}

void json_reader::finish()
{
    if (!value_.is_object()) {
        return;
    }
    for (const auto& [key, unused] : value_.items()) {
        if (!known_keys_.contains(key)) {
            out_.push_back({path_ + "/" + key, "is not a known key"});
        }
    }
}

} // namespace cedarpoint
