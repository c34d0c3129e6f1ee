#include "cedarpoint/fleet/recent_configurations.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// Documents are kept up to this size in total; a configuration takes a few times its document.
constexpr std::size_t max_document_bytes = 2 << 20;
constexpr std::size_t max_documents = 4;

} // namespace

void recent_configurations::add(std::string document, configuration_ptr configuration)
{
    bytes_ += document.size();
    latest_.push_front({std::move(document), std::move(configuration)});
    while (bytes_ > max_document_bytes || latest_.size() > max_documents) {
        bytes_ -= latest_.back().document.size();
        latest_.pop_back();
    }
}

recent_configurations::configuration_ptr
recent_configurations::find(std::string_view document) const
{
    const auto found = std::find_if(latest_.begin(), latest_.end(),
                                    [&](const entry& each) { return each.document == document; });
    return found == latest_.end() ? nullptr : found->configuration;
}

} // namespace cedarpoint
