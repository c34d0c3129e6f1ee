#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <map>
#include <utility>

namespace cedarpoint {

/// The work that each model is asked for, averaged over about a second: requests in service, and
/// those turned away per second. An exponential average, so that one burst converts no group.
class work_average {
public:
    using model_key = std::pair<service_id, model_id>;

    void record(instant now, const model_key& model, double work);
    [[nodiscard]] std::map<model_key, double> all() const;
    void clear() { averages_.clear(); }

private:
    struct average {
        double value = 0;
        instant at;
    };
    std::map<model_key, average> averages_;
};

} // namespace cedarpoint
