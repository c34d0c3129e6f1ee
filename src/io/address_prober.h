#pragma once

#include "cedarpoint/core/endpoint.h"
#include "io/connect_probe.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace cedarpoint {

/// Tries to connect to addresses and reports how each attempt ended. Sends no data. `Key` names the
/// process at an address.
template <typename Key>
class address_prober {
public:
    using result_handler = std::function<void(const Key&, connect_probe::result)>;

    explicit address_prober(result_handler on_result) : on_result_{std::move(on_result)} {}
    address_prober(const address_prober&) = delete;
    address_prober& operator=(const address_prober&) = delete;
    ~address_prober() = default;

    /// Starts a probe after a delay. Replaces one of the same key that has not ended.
    void probe(const Key& key, const endpoint& address, milliseconds delay = milliseconds{0})
    {
        auto& next = probes_[key];
        next = std::make_unique<connect_probe>(
            address, [this, key](connect_probe::result how) { on_result_(key, how); });
        next->start(delay);
    }

    /// Removes the probes that have ended. Must not be called from within `on_result`.
    void clean_up()
    {
        std::erase_if(probes_, [](const auto& each) { return each.second->is_done(); });
    }

private:
    result_handler on_result_;
    std::map<Key, std::unique_ptr<connect_probe>> probes_;
};

} // namespace cedarpoint
