#pragma once

#include "cedarpoint/config/fault.h"
#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// One entry of the list of peers.
struct peer_spec {
    daemon_id id;
    endpoint address; ///< its listener for connections from other daemons
    failure_domain_id failure_domain;
    bool root_voter = false;   ///< votes on the configuration
    bool domain_voter = false; ///< votes on its failure domain's groups and claims
};

/// Limits of an HTTP listener.
struct caller_limits {
    std::size_t max_connections = 4096;
    std::size_t max_head_bytes = std::size_t{16} << 10;
    std::size_t max_body_bytes = std::size_t{4} << 20;
    /// Bytes of the bodies of all requests. Further ones wait unread, and are refused if that takes
    /// too long.
    std::size_t max_bodies_bytes = std::size_t{128} << 20;
    /// Bytes buffered for a slow caller before reading from the runner is paused.
    std::size_t max_buffered_bytes = std::size_t{256} << 10;
    milliseconds head_timeout{10'000};
    milliseconds body_timeout{30'000};
};

/// Settings of a daemon whose peers are a fixed list.
struct settings {
    daemon_id id;
    failure_domain_id failure_domain;
    endpoint callers;
    endpoint operators;
    std::optional<endpoint> daemons; ///< unset: a single embedded daemon, a quorum of one
    std::string data_folder;         ///< empty: nothing is stored on disk
    std::string operator_key_sha256; ///< empty: the operators' listener needs no key
    bool json_logs = false;
    caller_limits limits;
    /// Longest wait for open requests and connections during a graceful shutdown.
    milliseconds stop_bound{30'000};
    milliseconds watch_interval{1000}; ///< between two polls of a runner
    milliseconds grant_ttl{3000};      ///< a group whose grant is older is not used
    std::vector<peer_spec> peers;      ///< all daemons, this one included; empty when embedded
    std::string curve_secret_file;     ///< empty: daemons communicate unencrypted
    std::string curve_public_key;      ///< shared by the fleet, Z85

    /// Parses a settings file. Returns nothing if it is invalid; `out` then lists every fault.
    static std::optional<settings> parse(std::string_view text, faults& out);
};

} // namespace cedarpoint
