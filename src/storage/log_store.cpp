#include "cedarpoint/storage/log_store.h"

#include "cedarpoint/core/hash.h"

#include <algorithm>
#include <cstring>
#include <iterator>
#include <string_view>

namespace cedarpoint {
namespace {

// The file format, which must stay compatible with existing files: `file_magic`, then frames. A
// frame consists of `frame_magic` (4 bytes), the payload's length (4), the payload's checksum (8)
// and the payload. Numbers are little-endian.
constexpr std::string_view file_magic = "cedarpoint log 1\n";
constexpr std::string_view frame_magic = "CPf1";
constexpr std::size_t length_offset = 4;      // byte offset in the frame
constexpr std::size_t checksum_offset = 8;    // byte offset in the frame
constexpr std::size_t frame_header_size = 16; // bytes before the payload

template <class T>
void put(std::string& out, T value)
{
    for (std::size_t n = 0; n < sizeof(T); ++n) {
        out.push_back(static_cast<char>(value >> (8 * n)));
    }
}

template <class T>
T get(std::string_view in)
{
    T out = 0;
    for (std::size_t n = 0; n < sizeof(T); ++n) {
        out |= static_cast<T>(static_cast<unsigned char>(in[n])) << (8 * n);
    }
    return out;
}

std::string make_frame(const std::string& payload)
{
    std::string out{frame_magic};
    put(out, static_cast<std::uint32_t>(payload.size()));
    put(out, hash_of(payload));
    return out + payload;
}

/// Returns the payload of the frame at the start of `in`; empty if the frame is torn or damaged.
std::optional<std::string_view> read_frame(std::string_view in)
{
    if (in.size() < frame_header_size || !in.starts_with(frame_magic)) {
        return {};
    }
    const auto length = get<std::uint32_t>(in.substr(length_offset));
    const auto sum = get<std::uint64_t>(in.substr(checksum_offset));
    if (in.size() - frame_header_size < length) {
        return {};
    }
    const auto payload = in.substr(frame_header_size, length);
    if (hash_of(payload) != sum) {
        return {};
    }
    return payload;
}

bool contains_intact_frame(std::string_view in)
{
    for (auto at = in.find(frame_magic); at != std::string_view::npos;
         at = in.find(frame_magic, at + 1)) {
        if (read_frame(in.substr(at))) {
            return true;
        }
    }
    return false;
}

void apply_batch(const wire::storage_batch& batch, raft_state& state)
{
    if (batch.has_state()) {
        state.hard = batch.state();
    }
    while (batch.truncate_from() > 0 && !state.entries.empty() &&
           state.entries.back().index() >= batch.truncate_from()) {
        state.entries.pop_back();
    }
    for (const auto& it : batch.entries()) {
        state.entries.push_back(it);
    }
}

/// Removes the entries that the snapshot holds, and all if they don't follow it: a leader's
/// snapshot replaces a log that differs, and the process may have ended before it replaced the
/// file. Returns whether they did not follow it.
bool drop_entries_of_snapshot(raft_state& state)
{
    const auto last = state.snapshot.index();
    auto& all = state.entries;
    const auto after = std::find_if(all.begin(), all.end(),
                                    [&](const wire::log_entry& it) { return it.index() > last; });
    const bool differs = after != all.begin() && std::prev(after)->term() != state.snapshot.term();
    all.erase(all.begin(), differs ? all.end() : after);
    return differs;
}

struct scanned_log {
    std::size_t intact_bytes = 0; ///< up to the end of the last intact frame
    std::string_view rest;        ///< what follows
};

/// Calls `take` with each batch up to the first one that is torn or damaged.
template <class Take>
scanned_log scan_log(std::string_view text, const Take& take)
{
    std::size_t at = file_magic.size();
    while (at < text.size()) {
        const auto payload = read_frame(text.substr(at));
        wire::storage_batch batch;
        if (!payload || !batch.ParseFromArray(payload->data(), static_cast<int>(payload->size()))) {
            break;
        }
        take(batch);
        at += frame_header_size + payload->size();
    }
    return {at, text.substr(at)};
}

/// Returns false if the snapshot on which the log was built is missing or an older one: such a
/// member would vote and acknowledge as if it still held the entries in between.
bool is_contiguous(const raft_state& state)
{
    const auto base = state.snapshot.index();
    const bool follows = state.entries.empty() || state.entries.front().index() == base + 1;
    return follows && state.hard.commit() <= base + state.entries.size();
}

} // namespace

log_store::log_store(file_system& files, const std::string& folder)
    : files_{files}, folder_{folder}, snapshot_path_{folder + "/snapshot"}, log_path_{folder +
                                                                                      "/log"}
{
}

std::unique_ptr<log_store> log_store::open(file_system& files, const std::string& folder,
                                           raft_state& state, reason& why)
{
    if (!files.make_folder(folder, why)) {
        return {};
    }
    std::unique_ptr<log_store> out{new log_store{files, folder}};
    if (!out->read_snapshot(state, why) || !out->read_log(state, why)) {
        return {};
    }
    if (!is_contiguous(state)) {
        why = {"read", folder,
               "entries before those of the log are missing: restore the data folder"};
        return {};
    }
    return out;
}

bool log_store::read_snapshot(raft_state& state, reason& why)
{
    const auto bytes = files_.read(snapshot_path_, why);
    if (!bytes) {
        return why.step.empty();
    }
    const std::string_view text{*bytes};
    const auto payload =
        text.starts_with(file_magic) ? read_frame(text.substr(file_magic.size())) : std::nullopt;
    if (!payload ||
        !state.snapshot.ParseFromArray(payload->data(), static_cast<int>(payload->size()))) {
        why = {"read", snapshot_path_, "damaged, or of another version: restore the data folder"};
        return false;
    }
    return true;
}

bool log_store::read_log(raft_state& state, reason& why)
{
    const auto bytes = files_.read(log_path_, why);
    if (!bytes) {
        if (!why.step.empty()) {
            return false;
        }
        const std::string mark{file_magic};
        log_bytes_ = mark.size();
        return files_.replace(log_path_, mark, why);
    }
    const std::string_view text{*bytes};
    if (!text.starts_with(file_magic)) {
        why = {"read", log_path_, "not a log of this version"};
        return false;
    }
    const auto [at, rest] =
        scan_log(text, [&](const wire::storage_batch& batch) { apply_batch(batch, state); });
    if (!rest.empty() && contains_intact_frame(rest.substr(1))) {
        why = {"read", log_path_,
               "damaged at byte " + std::to_string(at) +
                   ", before good records: restore the data folder"};
        return false;
    }
    if (drop_entries_of_snapshot(state)) {
        wire::storage_batch rest_of_log;
        *rest_of_log.mutable_state() = state.hard;
        return replace_log(rest_of_log, why);
    }
    log_bytes_ = at;
    return files_.truncate(log_path_, at, why); // also syncs what was read
}

bool log_store::settle_replacement(reason& why)
{
    if (!replacement_failed_) {
        return true;
    }
    if (!files_.make_folder(folder_, why)) {
        return false;
    }
    const auto bytes = files_.read(log_path_, why);
    if (!bytes) {
        return false;
    }
    const auto scanned = scan_log(*bytes, [](const wire::storage_batch&) {});
    log_bytes_ = scanned.intact_bytes;
    has_torn_tail_ = !scanned.rest.empty();
    replacement_failed_ = false;
    return true;
}

bool log_store::append(const wire::storage_batch& batch, reason& why)
{
    if (!settle_replacement(why)) {
        return false;
    }
    // A failed append may have left part of a batch in the file, which must not precede the next.
    if (has_torn_tail_ && !files_.truncate(log_path_, log_bytes_, why)) {
        return false;
    }
    const auto frame = make_frame(batch.SerializeAsString());
    has_torn_tail_ = !files_.append_synced(log_path_, frame, why);
    if (has_torn_tail_) {
        return false;
    }
    log_bytes_ += frame.size();
    return true;
}

bool log_store::save_snapshot(const wire::log_snapshot& snapshot, const wire::storage_batch& rest,
                              reason& why)
{
    const std::string mark{file_magic};
    if (!files_.replace(snapshot_path_, mark + make_frame(snapshot.SerializeAsString()), why)) {
        return false;
    }
    return replace_log(rest, why);
}

bool log_store::replace_log(const wire::storage_batch& rest, reason& why)
{
    const auto log = std::string{file_magic} + make_frame(rest.SerializeAsString());
    replacement_failed_ = !files_.replace(log_path_, log, why);
    if (replacement_failed_) {
        return false;
    }
    log_bytes_ = log.size();
    has_torn_tail_ = false;
    return true;
}

} // namespace cedarpoint
