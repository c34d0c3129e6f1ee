#include "cedarpoint/fleet/fleet_view.h"

#include "cedarpoint/fleet/fleet_configuration.h"

namespace cedarpoint {
namespace {

/// Maximum number of tombstones, the records kept only so that deltas can report their removal.
constexpr std::size_t max_removed_records = 2'000;

} // namespace

std::string configuration_key()
{
    return "configuration";
}

std::string runner_key(const std::string& runner)
{
    return "runner/" + runner;
}

std::string group_key(const std::string& group)
{
    return "group/" + group;
}

std::string request_key(const std::string& fingerprint)
{
    return "request/" + fingerprint;
}

std::string prompt_part_key(const std::string& model, const std::string& part)
{
    return "part/" + model + "/" + part;
}

std::string entry_daemon_key(const std::string& address)
{
    return "entry_daemon/" + address;
}

void view_source::put(const std::string& key, wire::fleet_item item)
{
    item.set_key(key);
    auto bytes = item.SerializeAsString();
    auto& existing = records_[key];
    if (existing.bytes == bytes) {
        return;
    }
    existing.bytes = std::move(bytes);
    item.set_version(++version_);
    existing.item = std::move(item);
}

void view_source::replace(const std::map<std::string, wire::fleet_item>& items)
{
    std::size_t removed = 0;
    for (auto& [key, existing] : records_) {
        if (items.contains(key) || existing.item.has_configuration()) {
            continue;
        }
        ++removed;
        if (!existing.item.removed()) {
            wire::fleet_item tombstone;
            tombstone.set_removed(true);
            put(key, std::move(tombstone));
        }
    }
    for (const auto& [key, item] : items) {
        put(key, item);
    }
    if (removed > max_removed_records) {
        std::erase_if(records_, [](const auto& each) { return each.second.item.removed(); });
        oldest_delta_base_ = version_;
    }
}

void view_source::set_configuration(const wire::accepted_configuration& configuration)
{
    wire::fleet_item item;
    *item.mutable_configuration() = configuration;
    put(configuration_key(), std::move(item));
}

wire::fleet_update view_source::since(std::uint64_t from) const
{
    wire::fleet_update out;
    const bool is_reset = from == 0 || from < oldest_delta_base_ || from > version_;
    out.set_reset(is_reset);
    out.set_from(is_reset ? 0 : from);
    out.set_to(version_);
    for (const auto& [key, each] : records_) {
        if (is_reset ? !each.item.removed() : each.item.version() > from) {
            *out.add_items() = each.item;
        }
    }
    return out;
}

view_copy::outcome view_copy::take(const wire::fleet_update& update)
{
    if (update.term() < term_ || (update.term() == term_ && update.to() < version_)) {
        return outcome::stale;
    }
    const bool follows = update.term() == term_ && update.from() <= version_;
    if (!update.reset() && !follows) {
        return outcome::gap;
    }
    if (update.term() == term_ && update.to() == version_) {
        return outcome::unchanged;
    }
    if (update.reset()) {
        items_.clear();
    }
    for (const auto& item : update.items()) {
        put(item);
    }
    term_ = update.term();
    version_ = update.to();
    return outcome::applied;
}

void view_copy::put(const wire::fleet_item& item)
{
    if (item.has_configuration()) {
        if (supersedes(item.configuration().revision(), configuration_.revision())) {
            configuration_ = item.configuration();
        }
        return;
    }
    if (item.removed()) {
        items_.erase(item.key());
        return;
    }
    items_[item.key()] = item;
}

const wire::accepted_configuration* view_copy::configuration() const
{
    return configuration_.revision() == 0 ? nullptr : &configuration_;
}

} // namespace cedarpoint
