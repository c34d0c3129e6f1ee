#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <map>
#include <utility>

namespace cedarpoint {

/// The demand for each model: requests in flight plus rejected requests per second, as an
/// exponential moving average over one to two seconds, so that a short burst converts no group.
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
