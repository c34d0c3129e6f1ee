#pragma once

#include "cedarpoint/fleet/fleet_configuration.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace cedarpoint {

/// The latest configurations that were read from operators' calls, by their documents, so that each
/// document is read once: one that is committed is installed a moment later, and an operator whose
/// acknowledgement was lost sends it again. Bounded by the size of the documents.
class recent_configurations {
public:
    using configuration_ptr = std::shared_ptr<const fleet_configuration>;

    void add(std::string document, configuration_ptr configuration);
    /// Returns the configuration that was read from `document`; null if it is not kept.
    [[nodiscard]] configuration_ptr find(std::string_view document) const;

private:
    struct entry {
        std::string document;
        configuration_ptr configuration;
    };

    std::deque<entry> latest_; ///< the newest first
    std::size_t bytes_ = 0;    ///< of the documents
};

} // namespace cedarpoint
