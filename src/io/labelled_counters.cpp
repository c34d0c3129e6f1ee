#include "io/labelled_counters.h"

namespace cedarpoint {

void labelled_counters::increment(const std::vector<std::string>& values)
{
    auto*& counter = known_[values];
    if (counter == nullptr) {
        prometheus::Labels labels;
        for (std::size_t n = 0; n < label_names_.size(); ++n) {
            labels.emplace(label_names_[n], values.at(n));
        }
        counter = &family_.Add(labels);
    }
    counter->Increment();
}

} // namespace cedarpoint
