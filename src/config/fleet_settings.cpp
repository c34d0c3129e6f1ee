#include "cedarpoint/config/fleet_settings.h"

#include "cedarpoint/config/json_reader.h"

namespace cedarpoint {
namespace {

/// Upper bound of every duration in the settings: one day.
constexpr std::int64_t max_duration_ms = 86'400'000;
/// Tolerating four losses takes nine voters.
constexpr std::int64_t max_tolerated_losses = 4;
/// A daemon can't work with less memory, in megabytes.
constexpr double min_memory_mb = 64;
constexpr double max_memory_mb = 1e6;
constexpr double bytes_per_mb = 1e6;

std::optional<endpoint> read_endpoint(json_reader& in, const char* key, bool required)
{
    const auto text = required ? in.string(key) : in.string_or(key, "");
    if (text.empty()) {
        return {};
    }
    auto out = endpoint::parse(text);
    if (!out) {
        in.add_fault(key, "must be an IP address and port, such as 127.0.0.1:8080");
    }
    return out;
}

milliseconds read_ms(json_reader& in, const char* key, milliseconds fallback)
{
    return milliseconds{in.integer_or(key, fallback.count(), {1, max_duration_ms})};
}

void read_seeds(json_reader& in, fleet_settings& out)
{
    for (const auto& text : in.strings_or_empty("seeds")) {
        if (const auto seed = endpoint::parse(text)) {
            out.seeds.push_back(*seed);
        }
        else {
            in.add_fault("seeds", "\"" + text + "\" must be an IP address and port");
        }
    }
    if (out.seeds.empty()) {
        in.add_fault("seeds", "must name at least one control daemon");
    }
}

void read_retry_budget(json_reader& in, retry_budget_options& out)
{
    constexpr double max_slack = 1e6;
    out.ratio = in.number_or("ratio", out.ratio, 0, 1);
    out.window = read_ms(in, "window_ms", out.window);
    out.slack = in.number_or("slack", out.slack, 0, max_slack);
    out.safety = in.number_or("safety", out.safety, 0, 1);
}

void read_addresses(json_reader& in, fleet_settings& out)
{
    const bool is_control = out.role == fleet_role::control;
    out.address = read_endpoint(in, "address", true).value_or(endpoint{});
    out.bind = read_endpoint(in, "bind", false);
    out.callers = read_endpoint(in, "callers", !is_control);
    out.forwards = read_endpoint(in, "forwards", false);
    out.ready = read_endpoint(in, "ready", !is_control);
    out.control = read_endpoint(in, "control", is_control);
    out.metrics = read_endpoint(in, "metrics", false);
}

} // namespace

std::optional<fleet_settings> fleet_settings::parse(std::string_view text, faults& out)
{
    const auto faults_before = out.size();
    const auto value = parse_json(text, out);
    if (!value) {
        return {};
    }
    fleet_settings it;
    json_reader in{*value, "", out};
    const auto role = in.string("role");
    const bool is_control = role == "control";
    if (!is_control && role != "entry") {
        in.add_fault("role", "must be \"control\" or \"entry\"");
    }
    it.role = is_control ? fleet_role::control : fleet_role::entry;
    it.name = in.string("name");
    it.failure_domain = failure_domain_id{in.string("failure_domain")};
    read_addresses(in, it);
    it.data_folder = in.string_or("data_folder", "");
    if (is_control && it.data_folder.empty()) {
        in.add_fault("data_folder", "is required: acknowledged changes are stored there");
    }
    read_seeds(in, it);
    it.first_start = in.boolean_or("first_start", false);
    it.tolerated_losses =
        static_cast<std::size_t>(in.integer_or("tolerated_losses", 1, {0, max_tolerated_losses}));
    it.heartbeat = read_ms(in, "heartbeat_ms", it.heartbeat);
    it.stall = read_ms(in, "stall_ms", it.stall);
    it.stop_bound = read_ms(in, "stop_bound_ms", it.stop_bound);
    it.memory_bytes = static_cast<std::size_t>(
        bytes_per_mb * in.number_or("memory_mb",
                                    static_cast<double>(it.memory_bytes) / bytes_per_mb,
                                    min_memory_mb, max_memory_mb));
    in.visit_object("retry_budget", [&](json_reader& e) { read_retry_budget(e, it.budget); });
    it.json_logs = in.boolean_or("json_logs", false);
    in.finish();
    if (out.size() != faults_before) {
        return {};
    }
    return it;
}

std::vector<daemon_id> seed_daemons(const fleet_settings& daemon_settings)
{
    std::vector<daemon_id> out;
    for (const auto& seed : daemon_settings.seeds) {
        out.emplace_back(endpoint{seed.ip, daemon_settings.address.port}.str());
    }
    return out;
}

} // namespace cedarpoint
