#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cedarpoint {

/// The counters of one metric, by the values of its labels. Caches them, because a family searches
/// its labels at each call, which costs time for every request.
class labelled_counters {
public:
    labelled_counters(prometheus::Family<prometheus::Counter>& family,
                      std::vector<std::string> label_names)
        : family_{family}, label_names_{std::move(label_names)}
    {
    }

    /// Increments the counter with these values, one for each label, in the order of the names.
    void increment(const std::vector<std::string>& values);

private:
    prometheus::Family<prometheus::Counter>& family_;
    std::vector<std::string> label_names_;
    std::map<std::vector<std::string>, prometheus::Counter*> known_;
};

} // namespace cedarpoint
