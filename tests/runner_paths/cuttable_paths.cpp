#include "runner_paths/cuttable_paths.h"

namespace cedarpoint::testing_support {

cuttable_paths::cuttable_paths(const std::string& ip, const std::vector<endpoint>& runners)
{
    for (const auto& runner : runners) {
        proxies_.push_back(
            std::make_unique<loopback_proxy>(endpoint{ip, runner.port}, endpoint{runner}));
    }
}

void cuttable_paths::cut(path_cut how)
{
    for (const auto& proxy : proxies_) {
        if (how.fresh == path_cut::fresh_t::refused) {
            proxy->set_accepting(loopback_proxy::accepting_t::refuses);
        }
        else {
            proxy->set_accepting(loopback_proxy::accepting_t::hangs);
        }
        if (how.existing == path_cut::existing_t::stall) {
            proxy->set_stalled(true);
        }
        if (how.existing == path_cut::existing_t::reset) {
            proxy->reset_connections();
        }
    }
}

void cuttable_paths::set_silent(std::size_t runner, bool silent)
{
    proxies_.at(runner)->set_stalled(silent);
}

void cuttable_paths::heal()
{
    for (const auto& proxy : proxies_) {
        proxy->set_stalled(false);
        proxy->set_accepting(loopback_proxy::accepting_t::accepts);
    }
}

} // namespace cedarpoint::testing_support
