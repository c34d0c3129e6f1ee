#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "control.pb.h"
#include "io/stream_socket.h"

#include <QTimer>

#include <functional>
#include <map>
#include <memory>

namespace cedarpoint {

/// Tries to connect to runners that the leader can't reach, and tells whether that worked.
class reach_checker {
public:
    reach_checker() = default;
    ~reach_checker();
    reach_checker(const reach_checker&) = delete;
    reach_checker& operator=(const reach_checker&) = delete;

    /// Begins a try for each suspect that was not tried lately; forgets those no longer named.
    void check(instant now, const wire::fleet_update& update);
    void fill(instant now, wire::fleet_follow& out) const;
    std::function<void()> on_result;

private:
    struct attempt {
        std::unique_ptr<stream_socket> socket;
        QTimer timer;
        instant begun;
        bool done = false;
        bool reachable = false;
    };
    void begin(instant now, const runner_id& runner, const endpoint& at);
    void end(attempt& each, bool reachable);

    std::map<runner_id, std::unique_ptr<attempt>> attempts_;
};

} // namespace cedarpoint
