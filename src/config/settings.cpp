#include "cedarpoint/config/settings.h"

#include "cedarpoint/config/json_reader.h"
#include "cedarpoint/core/hash.h"

#include <algorithm>

namespace cedarpoint {
namespace {

endpoint read_endpoint(json_reader& in, const char* key)
{
    const auto text = in.string(key);
    const auto it = endpoint::parse(text);
    if (!it && !text.empty()) {
        in.add_fault(key, "must be an IP address and port, such as 127.0.0.1:8080");
    }
    return it.value_or(endpoint{});
}

std::size_t read_size(json_reader& in, const char* key, std::size_t fallback, int_range range)
{
    return static_cast<std::size_t>(in.integer_or(key, static_cast<std::int64_t>(fallback), range));
}

milliseconds read_ms(json_reader& in, const char* key, milliseconds fallback, int_range range)
{
    return milliseconds{in.integer_or(key, fallback.count(), range)};
}

void read_limits(json_reader& in, caller_limits& out)
{
    out.max_connections = read_size(in, "max_connections", out.max_connections, {1, 1'000'000});
    out.max_head_bytes = read_size(in, "max_head_bytes", out.max_head_bytes, {1024, 1 << 20});
    out.max_body_bytes = read_size(in, "max_body_bytes", out.max_body_bytes, {1024, 1 << 28});
    out.max_bodies_bytes =
        read_size(in, "max_bodies_bytes", out.max_bodies_bytes, {1 << 20, std::int64_t{1} << 32});
    out.max_buffered_bytes =
        read_size(in, "max_buffered_bytes", out.max_buffered_bytes, {4096, 1 << 26});
    out.head_timeout = read_ms(in, "head_timeout_ms", out.head_timeout, {100, 600'000});
    out.body_timeout = read_ms(in, "body_timeout_ms", out.body_timeout, {100, 600'000});
}

void read_peers(json_reader& in, settings& out)
{
    in.for_each_object("peers", [&](json_reader& e) {
        out.peers.push_back({daemon_id{e.string("id")}, read_endpoint(e, "address"),
                             failure_domain_id{e.string("failure_domain")},
                             e.boolean_or("root_voter", false),
                             e.boolean_or("domain_voter", true)});
    });
}

void check_addresses(const settings& it, faults& out)
{
    // Port 0 stands for an address that failed to parse, which is reported already.
    if (it.callers == it.operators && it.callers.port != 0) {
        out.push_back({"/operators", "must differ from the address of /callers"});
    }
    if (it.daemons && (*it.daemons == it.callers || *it.daemons == it.operators)) {
        out.push_back({"/daemons", "must differ from the addresses of the other listeners"});
    }
}

void check_peers(const settings& it, faults& out)
{
    if (it.daemons.has_value() == it.peers.empty()) {
        out.push_back({"/peers", it.peers.empty()
                                     ? "must list all daemons, including this one"
                                     : "requires /daemons, the address of this daemon"});
    }
    if (it.peers.empty()) {
        return;
    }
    const auto self = std::find_if(it.peers.begin(), it.peers.end(),
                                   [&](const peer_spec& e) { return e.id == it.id; });
    if (self == it.peers.end()) {
        out.push_back({"/peers", "must list this daemon, \"" + it.id.str() + "\""});
    }
    else if (self->failure_domain != it.failure_domain || self->address != it.daemons) {
        out.push_back(
            {"/peers", "must list this daemon with its /daemons address and its /failure_domain"});
    }
    if (std::none_of(it.peers.begin(), it.peers.end(),
                     [](const peer_spec& e) { return e.root_voter; })) {
        out.push_back({"/peers", "must name at least one root_voter"});
    }
}

/// Reads the daemon's id, its listeners, its data folder and the operators' key.
void read_identity_and_listeners(json_reader& in, settings& it)
{
    it.id = daemon_id{in.string("id")};
    it.failure_domain = failure_domain_id{in.string("failure_domain")};
    it.callers = read_endpoint(in, "callers");
    it.operators = read_endpoint(in, "operators");
    if (in.has("daemons")) {
        it.daemons = read_endpoint(in, "daemons");
    }
    else {
        in.string_or("daemons", "");
    }
    it.data_folder = in.string_or("data_folder", "");
    it.operator_key_sha256 = in.string_or("operator_key_sha256", "");
    if (!it.operator_key_sha256.empty() && !is_sha256_hex(it.operator_key_sha256)) {
        in.add_fault("operator_key_sha256",
                     "must be 64 lower-case hex digits: the SHA-256 of the key");
    }
}

/// Reads logging, limits, durations and the CURVE keys for connections between daemons.
void read_limits_and_keys(json_reader& in, settings& it)
{
    it.json_logs = in.boolean_or("json_logs", false);
    in.visit_object("limits", [&](json_reader& e) { read_limits(e, it.limits); });
    it.stop_bound = read_ms(in, "stop_bound_ms", it.stop_bound, {0, 86'400'000});
    it.watch_interval = read_ms(in, "watch_interval_ms", it.watch_interval, {50, 60'000});
    it.grant_ttl = read_ms(in, "grant_ttl_ms", it.grant_ttl, {300, 60'000});
    it.curve_secret_file = in.string_or("curve_secret_file", "");
    it.curve_public_key = in.string_or("curve_public_key", "");
}

} // namespace

std::optional<settings> settings::parse(std::string_view text, faults& out)
{
    const auto faults_before = out.size();
    const auto value = parse_json(text, out);
    if (!value) {
        return {};
    }
    settings it;
    json_reader in{*value, "", out};
    read_identity_and_listeners(in, it);
    read_limits_and_keys(in, it);
    read_peers(in, it);
    in.finish();
    if (it.curve_secret_file.empty() != it.curve_public_key.empty()) {
        out.push_back({"/curve_secret_file", "must be given together with /curve_public_key"});
    }
    check_addresses(it, out);
    check_peers(it, out);
    if (out.size() != faults_before) {
        return {};
    }
    return it;
}

} // namespace cedarpoint
