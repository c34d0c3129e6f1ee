#pragma once

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cedarpoint {

/// The leader's side of the view: records by key, each with the version of its latest change.
class view_source {
public:
    /// Replaces runners and groups; only records that differ get a new version.
    void replace(const std::map<std::string, wire::fleet_item>& items);
    void set_configuration(const wire::accepted_configuration& configuration);
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// What has changed since `from`; the whole view if that is 0 or unknown here.
    [[nodiscard]] wire::fleet_update since(std::uint64_t from) const;

private:
    struct record {
        wire::fleet_item item;
        std::string bytes; ///< of the item, to see whether it has changed
    };

    void put(const std::string& key, wire::fleet_item item);

    std::map<std::string, record> records_; ///< removed ones stay, so that deltas can tell it
    std::uint64_t version_ = 0;
    std::uint64_t oldest_ = 0; ///< deltas from before this can't be told
};

/// An entry daemon's side: takes updates in order and never goes back to an older one.
class view_copy {
public:
    /// Whether an update was news.
    enum class outcome { applied, unchanged, stale, gap };

    outcome take(const wire::fleet_update& update);
    [[nodiscard]] std::uint64_t term() const { return term_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] const std::map<std::string, wire::fleet_item>& items() const { return items_; }
    /// The configuration with the highest version that was ever taken; null before the first.
    [[nodiscard]] const wire::accepted_configuration* configuration() const;

private:
    void put(const wire::fleet_item& item);

    std::map<std::string, wire::fleet_item> items_; ///< runners and groups
    wire::accepted_configuration configuration_;
    std::uint64_t term_ = 0;
    std::uint64_t version_ = 0;
};

/// Keys of the view's records.
std::string configuration_key();
std::string runner_key(const std::string& runner);
std::string group_key(const std::string& group);
std::string request_key(const std::string& fingerprint);

} // namespace cedarpoint
