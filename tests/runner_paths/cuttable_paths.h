#pragma once

#include "cedarpoint/core/endpoint.h"
#include "soak/loopback_proxy.h"

#include <memory>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// What a cut does to the connections from a daemon to runners.
struct path_cut {
    enum class existing_t { stall, reset, live_on };
    existing_t existing = existing_t::stall;
    enum class fresh_t { hang, refused };
    fresh_t fresh = fresh_t::hang;
};

/// The paths from one entry daemon to all runners, each through a proxy. The daemon runs with
/// `redirect_runners` preloaded and REDIRECT_RUNNERS_TO set to `ip`.
class cuttable_paths {
public:
    cuttable_paths(const std::string& ip, const std::vector<endpoint>& runners);

    void cut(path_cut how);
    void heal();
    /// Makes the path to one runner carry nothing, or lets it go on.
    void set_silent(std::size_t runner, bool silent);

private:
    std::vector<std::unique_ptr<loopback_proxy>> proxies_;
};

} // namespace cedarpoint::testing_support
