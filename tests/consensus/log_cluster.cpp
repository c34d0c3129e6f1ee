#include "consensus/log_cluster.h"

#include "cedarpoint/consensus/membership_policy.h"

#include <algorithm>
#include <sstream>

#include <fmt/format.h>

namespace cedarpoint::testing_support {
namespace {

constexpr duration tick = milliseconds{10};
/// Between two checks of the membership, as in the daemons.
constexpr duration fleet_membership_interval = milliseconds{500};

} // namespace

/// A state machine that keeps the set of applied commands, which are numbers.
class log_cluster::command_set final : public replicated_state {
public:
    std::string apply(const std::string& command) override
    {
        numbers_.insert(std::stoi(command));
        return command;
    }
    [[nodiscard]] std::string save() const override
    {
        std::string out;
        for (const auto it : numbers_) {
            out += std::to_string(it) + " ";
        }
        return out;
    }
    bool restore(const std::string& bytes) override
    {
        numbers_.clear();
        std::istringstream in{bytes};
        for (int it = 0; in >> it;) {
            numbers_.insert(it);
        }
        return true;
    }
    [[nodiscard]] const std::set<int>& numbers() const { return numbers_; }

private:
    std::set<int> numbers_;
};

/// A disk whose next write can be made slow. Time passes only for its owner.
class log_cluster::stalling_files final : public file_system {
public:
    std::optional<std::string> read(const std::string& path, reason& why) override
    {
        return files_.read(path, why);
    }
    bool append_synced(const std::string& path, const std::string& bytes, reason& why) override
    {
        wait();
        return files_.append_synced(path, bytes, why);
    }
    bool replace(const std::string& path, const std::string& bytes, reason& why) override
    {
        wait();
        return files_.replace(path, bytes, why);
    }
    bool truncate(const std::string& path, std::uint64_t size, reason& why) override
    {
        return files_.truncate(path, size, why);
    }
    bool make_folder(const std::string& path, reason& why) override
    {
        return files_.make_folder(path, why);
    }
    void wipe() { files_.wipe(); }
    void slow_down(duration next) { next_ = next; }
    /// Returns the time that the writes of the present step have taken.
    [[nodiscard]] duration waited() const { return waited_; }
    void end_step() { waited_ = {}; }

private:
    void wait() { waited_ += std::exchange(next_, duration{}); }

    memory_files files_;
    duration next_{};
    duration waited_{};
};

log_cluster::log_cluster(log_cluster_options options) : options_{options}, random_{options.seed}
{
    for (int n = 0; n < options_.members; ++n) {
        auto it = std::make_unique<host>();
        it->id = member_id{std::to_string(n)};
        it->files = std::make_unique<stalling_files>();
        it->state = std::make_unique<command_set>();
        hosts_.push_back(std::move(it));
    }
    for (int n = 0; n < options_.members; ++n) {
        start(n);
    }
}

log_cluster::~log_cluster() = default;

replicated_log::options log_cluster::options_of(int member)
{
    auto& host = at(member);
    replicated_log::options out;
    out.self = host.id;
    const bool first = host.starts == 0;
    const auto fleet_start = first ? start_mode::first : start_mode::later;
    out.raft.start = options_.form == log_form::fleet ? fleet_start : start_mode::unknown;
    out.raft.election_timeout = milliseconds{500};
    out.raft.heartbeat = milliseconds{100};
    out.raft.drift = milliseconds{50};
    out.snapshot_bytes = 4096;
    out.clock = [this, files = host.files.get()] { return now_ + files->waited(); };
    ++host.starts;
    out.seed = options_.seed * 1'000'003 + host.starts * 101 + static_cast<std::uint64_t>(member);
    for (int n = 0; n < options_.members; ++n) {
        auto* it = out.bootstrap.add_members();
        it->set_id(std::to_string(n));
        it->set_voter(true);
    }
    return out;
}

void log_cluster::start(int member)
{
    auto& host = at(member);
    if (host.log != nullptr) {
        return;
    }
    host.state->restore("");
    host.busy_until = now_;
    reason why;
    host.log = replicated_log::open(
        now_, options_of(member), host.files.get(), "data", *host.state,
        [this, member](const member_id& to, const wire::raft_message& content) {
            post(member, to, content);
        },
        why);
    if (host.log == nullptr) {
        record_violation("a member does not start: " + why.str());
    }
}

void log_cluster::kill(int member)
{
    at(member).log.reset();
    std::erase_if(pending_reads_, [&](const pending_read& it) { return it.member == member; });
}

void log_cluster::lose_disk(int member)
{
    kill(member);
    at(member).files->wipe();
}

void log_cluster::stop(int member, duration time)
{
    at(member).busy_until = std::max(at(member).busy_until, now_ + time);
}

void log_cluster::stop_in_next_write(int member, duration time)
{
    at(member).files->slow_down(time);
}

void log_cluster::cut(int one, int other, bool both_ways)
{
    cuts_.emplace(one, other);
    if (both_ways) {
        cuts_.emplace(other, one);
    }
}

void log_cluster::isolate(int member)
{
    for (int n = 0; n < size(); ++n) {
        if (n != member) {
            cut(member, n, true);
        }
    }
}

void log_cluster::post(int from, const member_id& to, const wire::raft_message& content)
{
    const auto random_delay = [&](duration longest) {
        return duration{std::uniform_int_distribution<std::int64_t>{1, longest.count()}(random_)};
    };
    const auto percent = [&](int share) {
        return std::uniform_int_distribution<int>{0, 99}(random_) < share;
    };
    const int target = std::stoi(to.str());
    const auto sent = now_ + at(from).files->waited();
    for (int n = percent(options_.double_percent) ? 2 : 1; n > 0; --n) {
        const bool late = percent(options_.late_percent);
        const auto delay = random_delay(late ? options_.latest_delay : options_.longest_delay);
        in_flight_.push_back({sent + delay, at(from).id, target, content});
    }
}

void log_cluster::end_step(host& of)
{
    of.busy_until = std::max(of.busy_until, now_ + of.files->waited());
    of.files->end_step();
}

bool log_cluster::propose(int member)
{
    if (!is_running(member)) {
        return false;
    }
    auto& host = at(member);
    const int command = ++commands_;
    const bool taken =
        host.log->propose(now_, std::to_string(command),
                          [this, command, &host](const std::optional<std::string>& answer) {
                              if (answer) {
                                  acknowledged_.emplace_back(now_ + host.files->waited(), command);
                              }
                          });
    if (host.log->raft().holds_lease(now_)) {
        read(member); // in the same step, so that the time was read before the write
    }
    end_step(host);
    return taken;
}

void log_cluster::read(int member)
{
    auto& host = at(member);
    if (!is_running(member) || !host.log->raft().holds_lease(now_)) {
        return;
    }
    pending_reads_.push_back({now_ + host.files->waited(), member, host.state->numbers()});
}

void log_cluster::check_reads()
{
    for (auto it = pending_reads_.begin(); it != pending_reads_.end();) {
        if (it->due > now_) {
            ++it;
            continue;
        }
        ++reads_;
        for (const auto& [at_time, command] : acknowledged_) {
            if (at_time < it->due && !it->seen.contains(command)) {
                record_violation(fmt::format("member {} reads without command {}, which was "
                                             "acknowledged {} ms before",
                                             it->member, command,
                                             (it->due - at_time) / milliseconds{1}));
            }
        }
        it = pending_reads_.erase(it);
    }
}

void log_cluster::check_terms()
{
    for (int n = 0; n < size(); ++n) {
        if (!is_up(n) || !raft(n).is_leader()) {
            continue;
        }
        const std::pair leads{raft(n).term(), n};
        const auto known = std::find_if(leaders_.begin(), leaders_.end(),
                                        [&](const auto& it) { return it.first == leads.first; });
        if (known == leaders_.end()) {
            leaders_.push_back(leads);
        }
        else if (known->second != n) {
            record_violation(
                fmt::format("members {} and {} lead in term {}", known->second, n, leads.first));
        }
    }
}

void log_cluster::deliver()
{
    std::vector<message> due;
    const auto is_due = [&](const message& it) { return it.due <= now_; };
    std::copy_if(in_flight_.begin(), in_flight_.end(), std::back_inserter(due), is_due);
    std::erase_if(in_flight_, is_due);
    std::stable_sort(due.begin(), due.end(),
                     [](const message& one, const message& other) { return one.due < other.due; });
    for (auto& each : due) {
        const int from = std::stoi(each.from.str());
        if (!is_up(each.to) || cuts_.contains({from, each.to})) {
            continue;
        }
        if (!is_running(each.to)) {
            each.due = at(each.to).busy_until; // waits in the receiver's socket
            in_flight_.push_back(std::move(each));
            continue;
        }
        at(each.to).log->receive(now_, each.from, each.content);
        end_step(at(each.to));
    }
}

void log_cluster::change_members(int member)
{
    auto& host = at(member);
    const auto& node = host.log->raft();
    if (now_ < host.membership_due) {
        return;
    }
    const bool is_fleet = options_.form == log_form::fleet;
    host.membership_due = now_ + (is_fleet ? fleet_membership_interval : duration{});
    if (!node.holds_lease(now_)) {
        return;
    }
    const auto wanted = static_cast<std::size_t>(size());
    const auto change = is_fleet ? next_membership_change(now_, node, wanted)
                                 : next_storage_replacement(now_, node, host.log->bootstrap());
    if (change) {
        using kind_t = membership_change::kind_t;
        host.log->change_membership(now_, change->member, change->kind != kind_t::remove,
                                    change->kind == kind_t::promote);
    }
}

void log_cluster::step()
{
    now_ += tick;
    deliver();
    for (int n = 0; n < size(); ++n) {
        if (!is_running(n)) {
            continue;
        }
        at(n).log->tick(now_);
        end_step(at(n));
        if (is_running(n)) {
            change_members(n);
            end_step(at(n));
        }
    }
    check_terms();
    check_reads();
}

void log_cluster::run(duration time)
{
    for (const auto end = now_ + time; now_ < end && violation_.empty();) {
        step();
    }
}

bool log_cluster::holds_lease(int member) const
{
    return is_running(member) && raft(member).holds_lease(now_);
}

int log_cluster::leader() const
{
    for (int n = 0; n < size(); ++n) {
        if (holds_lease(n)) {
            return n;
        }
    }
    return -1;
}

bool log_cluster::is_recovered() const
{
    const int leads = leader();
    for (int n = 0; n < size() && leads >= 0; ++n) {
        if (!is_running(n) || !raft(n).is_admitted() ||
            raft(n).commit() != raft(leads).last_index()) {
            return false;
        }
    }
    return leads >= 0;
}

bool log_cluster::run_until_recovered(duration limit)
{
    for (const auto end = now_ + limit; now_ < end && violation_.empty();) {
        step();
        if (is_recovered()) {
            read(leader());
            check_reads();
            return true;
        }
    }
    return false;
}

std::string log_cluster::describe() const
{
    std::string out;
    for (int n = 0; n < size(); ++n) {
        if (!is_up(n)) {
            out += fmt::format("{} down; ", n);
            continue;
        }
        const auto status = raft(n).elections(now_);
        out += fmt::format("{} {} term {} last {}/{} commit {} voter {} admitted {} voters [", n,
                           status.role, status.term, status.last_index, status.last_term,
                           raft(n).commit(), status.voter, status.whole);
        for (const auto& it : raft(n).members().members()) {
            out +=
                fmt::format("{}{}:{} ", it.voter() ? "" : "learner ", it.id(), it.storage() % 1000);
        }
        out += "]; ";
    }
    return out;
}

void log_cluster::record_violation(const std::string& what)
{
    if (violation_.empty()) {
        violation_ = fmt::format("at {} ms: {}", now_.time_since_epoch() / milliseconds{1}, what);
    }
}

} // namespace cedarpoint::testing_support
