#pragma once

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cedarpoint {

/// The leader's copy of the view: records by key, each with the version of its latest change. Makes
/// the updates for entry daemons.
class view_source {
public:
    /// Replaces all records but the configuration. Only records that differ get a new version.
    void replace(const std::map<std::string, wire::fleet_item>& items);
    void set_configuration(const wire::accepted_configuration& configuration);
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// Returns the changes since version `from`; the whole view if `from` is 0, newer than this
    /// view, or too old for a delta.
    [[nodiscard]] wire::fleet_update since(std::uint64_t from) const;

private:
    struct record {
        wire::fleet_item item;
        std::string bytes; ///< serialized item without its version, to detect changes
    };

    void put(const std::string& key, wire::fleet_item item);

    std::map<std::string, record> records_; ///< removed ones are kept as tombstones for deltas
    std::uint64_t version_ = 0;
    std::uint64_t oldest_delta_base_ = 0; ///< oldest version from which a delta can be made
};

/// An entry daemon's copy of the view. Applies updates in order and never returns to an older one.
class view_copy {
public:
    /// Result of an update. `gap`: the update does not follow on this copy's version.
    enum class outcome { applied, unchanged, stale, gap };

    outcome take(const wire::fleet_update& update);
    [[nodiscard]] std::uint64_t term() const { return term_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] const std::map<std::string, wire::fleet_item>& items() const { return items_; }
    /// Returns the configuration with the highest revision received so far; null before the first.
    [[nodiscard]] const wire::accepted_configuration* configuration() const;

private:
    void put(const wire::fleet_item& item);

    std::map<std::string, wire::fleet_item> items_; ///< all but the configuration
    wire::accepted_configuration configuration_;
    std::uint64_t term_ = 0;
    std::uint64_t version_ = 0;
};

// Keys of the view's records.
std::string configuration_key();
std::string runner_key(const std::string& runner);
std::string group_key(const std::string& group);
std::string request_key(const std::string& fingerprint);
std::string prompt_part_key(const std::string& model, const std::string& part);
std::string entry_daemon_key(const std::string& address);

} // namespace cedarpoint
