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

/// Another process of the system, as settings name it.
struct peer_spec {
    daemon_id id;
    endpoint address; ///< its listener for daemons
    failure_domain_id failure_domain;
    bool root_voter = false;   ///< votes on the configuration
    bool domain_voter = false; ///< votes on its failure domain's groups and claims
};

/// Bounds of the callers' listener.
struct caller_limits {
    std::size_t max_connections = 4096;
    std::size_t max_head_bytes = std::size_t{16} << 10;
    std::size_t max_body_bytes = std::size_t{4} << 20;
    std::size_t max_buffered_bytes = std::size_t{256}
                                     << 10; ///< to a slow caller, before the runner is held back
    milliseconds head_timeout{10'000};
    milliseconds body_timeout{30'000};
};

/// What one process learns from its own file.
struct settings {
    daemon_id id;
    failure_domain_id failure_domain;
    endpoint callers;
    endpoint operators;
    std::optional<endpoint> daemons; ///< none: the embedded default, a quorum of one
    std::string data_folder;         ///< empty: no disk
    std::string operator_key_sha256; ///< empty: whoever reaches the operators' listener may use it
    bool json_logs = false;
    caller_limits limits;
    milliseconds stop_bound{30'000};   ///< streams get this long on a planned stop
    milliseconds watch_interval{1000}; ///< between two looks at a runner
    milliseconds grant_ttl{3000};      ///< a group is not used when its grant is older
    std::vector<peer_spec> peers;      ///< all daemons, this one included; empty when embedded
    std::string curve_secret_file;     ///< empty: daemons talk in the clear
    std::string curve_public_key;      ///< shared by the fleet, Z85

    /// Reads a settings file. Empty if anything is wrong; `out` then names every fault.
    static std::optional<settings> parse(std::string_view text, faults& out);
};

} // namespace cedarpoint
