// A leader stands still for some seconds while it writes to its disk, and is cut off meanwhile. The
// others elect a new leader, which acknowledges a change. Then one of them loses its disk, the
// other one is dark, the cut heals and the old leader goes on. See claim.txt.

#include "../support/fleet.h"

#include <sys/syscall.h>

namespace {

using namespace review;

constexpr double config_apply_s = 2.0; ///< bounds.configApplyMs
constexpr double recovery_s = 12.0;    ///< bounds.recoveryS
constexpr double dark_s = 5.0;         ///< how long the third control daemon has no power
constexpr double longest_freeze_s = 3.2;
constexpr double last_attempt_s = 60.0; ///< no attempt begins later than this

json make_configuration(std::uint64_t version)
{
    return {{"version", version},
            {"routes", json::array({{{"name", "r-lookup"},
                                     {"host", "shop.example"},
                                     {"pathPrefix", "/lookup/"},
                                     {"kind", "unsafe"},
                                     {"timeoutMs", 2000},
                                     {"targetLatencyMs", 300},
                                     {"priority", 2},
                                     {"service", "shop"},
                                     {"maxAttempts", 1},
                                     {"public", true}}})},
            {"services", json::array({{{"name", "shop"},
                                       {"healthPath", "/healthz"},
                                       {"maxConnections", 110},
                                       {"protocol", "h1"},
                                       {"tls", false}}})},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
}

/// Sends changes one after the other, as a series of quick changes does.
class change_series {
public:
    change_series(fleet& site, std::uint64_t version) : site_{site}, sent_{version}
    {
        thread_ = std::thread{[this] { run(); }};
    }
    ~change_series() { stop(); }
    void stop()
    {
        stopping_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
    }
    /// Returns the highest version that was sent, acknowledged or not.
    std::uint64_t sent() const { return sent_; }
    std::uint64_t acknowledged() const { return acknowledged_; }

private:
    void run()
    {
        while (!stopping_) {
            const auto version = ++sent_;
            record("version %llu is sent", (unsigned long long)version);
            const auto body = make_configuration(version).dump();
            const auto out = control_call(site_.controls(), "POST", "/cedarpoint/config/put", body);
            if (out.status == 200) {
                acknowledged_ = version;
            }
        }
    }

    fleet& site_;
    std::atomic<std::uint64_t> sent_;
    std::atomic<std::uint64_t> acknowledged_ = 0;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

enum class write_state { writing, not_writing, unknown };

/// Tells whether the stopped process is inside a sync of a file.
write_state read_write_state(pid_t pid)
{
    std::ifstream in{"/proc/" + std::to_string(pid) + "/syscall"};
    long number = -1;
    if (!(in >> number)) {
        return in.bad() || !in.is_open() ? write_state::unknown : write_state::not_writing;
    }
    return number == SYS_fsync || number == SYS_fdatasync ? write_state::writing
                                                          : write_state::not_writing;
}

/// Stops the process, if possible while it writes to its disk. Returns whether that is certain.
bool freeze(process& of)
{
    constexpr int max_tries = 2000;
    for (int n = 0; n < max_tries; ++n) {
        of.send_signal(SIGSTOP);
        waitpid(of.pid(), nullptr, WUNTRACED);
        const auto state = read_write_state(of.pid());
        if (state != write_state::not_writing || n + 1 == max_tries) {
            return state == write_state::writing;
        }
        of.send_signal(SIGCONT);
        std::this_thread::sleep_for(std::chrono::microseconds(500 + 137 * (n % 17)));
    }
    return false;
}

struct reading {
    int daemon = 0;
    int status = 0;
    std::uint64_t version = 0;
};

/// Reads the configuration as the operator does, beginning at one daemon.
reading read_configuration(const fleet& site, int daemon)
{
    reading out{daemon, 0, 0};
    const auto got = control_call({site.control(daemon)}, "GET", "/cedarpoint/config/get", "");
    out.status = got.status;
    if (got.status == 200 && got.complete) {
        out.version = json::parse(got.head.body).value("version", std::uint64_t{0});
    }
    return out;
}

/// The changes that were acknowledged, with the time when the acknowledgement arrived.
class acknowledged_changes {
public:
    void add(std::uint64_t version)
    {
        changes_.emplace_back(elapsed(), version);
        record("version %llu is acknowledged", (unsigned long long)version);
    }
    /// Returns the lowest version that may answer a read that was sent at this time.
    std::uint64_t lowest_allowed(double sent_at) const
    {
        std::uint64_t out = 0;
        for (const auto& [at, version] : changes_) {
            if (sent_at > at + config_apply_s) {
                out = std::max(out, version);
            }
        }
        return out;
    }

private:
    std::vector<std::pair<double, std::uint64_t>> changes_;
};

/// Reads the configuration at each control daemon for `seconds`. Returns how many reads were
/// answered with a version that is older than the rule allows.
int count_old_reads(const fleet& site, const acknowledged_changes& changes, double seconds)
{
    int out = 0;
    const auto end = elapsed() + seconds;
    while (elapsed() < end) {
        for (int n = 0; n < fleet::control_count; ++n) {
            const double sent_at = elapsed();
            const auto got = read_configuration(site, n);
            const bool is_old = got.status == 200 && got.version < changes.lowest_allowed(sent_at);
            out += is_old ? 1 : 0;
            record("read at d-%d: status %d version %llu%s", n, got.status,
                   (unsigned long long)got.version, is_old ? " TOO OLD" : "");
        }
        sleep_ms(400);
    }
    return out;
}

class stale_leader_case {
public:
    result run()
    {
        if (!site_.can_run()) {
            record("no program at %s, or no free port", fleet::program().c_str());
            return result::not_run;
        }
        site_.start_all();
        if (!site_.put(make_configuration(version_), 20)) {
            record("the first configuration was not acknowledged");
            return result::not_run;
        }
        if (!has_trouble()) {
            return run_undisturbed();
        }
        bool has_run = false;
        while (elapsed() < last_attempt_s) {
            if (try_once()) {
                has_run = has_run || was_writing_;
                if (judge() == result::broken) {
                    return result::broken;
                }
            }
            sleep_ms(1500);
        }
        record(has_run ? "no read was too old"
                       : "the leader was not seen to stand still in a write");
        return has_run ? result::held : result::not_run;
    }

private:
    result run_undisturbed()
    {
        {
            change_series series{site_, version_};
            sleep_ms(300);
            series.stop();
            version_ = series.sent();
        }
        if (!put_next()) {
            return result::not_run;
        }
        return judge();
    }

    /// Brings the order of events about once. Returns false if the others did not acknowledge a
    /// change in time.
    bool try_once()
    {
        const auto leader = site_.leader();
        if (!leader) {
            return false;
        }
        change_series series{site_, version_};
        sleep_ms(300);
        auto& old_leader = site_.at(*leader);
        was_writing_ = freeze(old_leader);
        const double frozen_at = elapsed();
        site_.mesh_proxy(*leader).set_cut(true);
        series.stop();
        version_ = series.sent() + 1;
        record(
            "d-%d leads; it stands still%s and is cut off; version %llu was acknowledged before, "
            "%llu sent",
            *leader, was_writing_ ? " in a write" : "", (unsigned long long)series.acknowledged(),
            (unsigned long long)series.sent());
        const auto new_leader = put_at_others(*leader, frozen_at);
        if (new_leader) {
            changes_.add(version_);
            lose_others(*leader, *new_leader);
        }
        site_.mesh_proxy(*leader).set_cut(false);
        old_leader.send_signal(SIGCONT);
        record("the cut heals; d-%d goes on after %.1f s", *leader, elapsed() - frozen_at);
        return new_leader.has_value();
    }

    std::optional<int> put_at_others(int old_leader, double frozen_at)
    {
        const auto body = make_configuration(version_).dump();
        record("version %llu is sent to the others", (unsigned long long)version_);
        while (elapsed() < frozen_at + longest_freeze_s - 0.6) {
            for (int n = 0; n < fleet::control_count; ++n) {
                if (n != old_leader && call(site_.control(n), "POST", "/cedarpoint/config/put",
                                            "Content-Type: application/json\r\n", body, 500)
                                               .status == 200) {
                    return n;
                }
            }
            sleep_ms(20);
        }
        return {};
    }

    /// The daemon that has acknowledged the change loses power; the third one loses its disk and
    /// starts again at once.
    void lose_others(int old_leader, int new_leader)
    {
        dark_ = new_leader;
        constexpr int sum_of_numbers = 0 + 1 + 2;
        const int wiped = sum_of_numbers - old_leader - new_leader;
        site_.at(wiped).kill_now();
        site_.at(dark_).kill_now();
        dark_since_ = elapsed();
        std::filesystem::remove_all(site_.data_folder(wiped));
        site_.start(wiped, false);
        record("d-%d loses its disk and starts again; d-%d has no power", wiped, dark_);
    }

    bool put_next()
    {
        ++version_;
        record("version %llu is sent", (unsigned long long)version_);
        if (!site_.put(make_configuration(version_), 3)) {
            record("version %llu was not acknowledged", (unsigned long long)version_);
            return false;
        }
        changes_.add(version_);
        return true;
    }

    result judge()
    {
        int old_reads = count_old_reads(site_, changes_, dark_s / 2);
        // The operator goes on; while a quorum is missing, the change may stay unacknowledged.
        (void)put_next();
        old_reads += count_old_reads(site_, changes_, dark_s / 2);
        if (dark_ >= 0) {
            site_.start(dark_, false);
            record("d-%d has power again after %.1f s", dark_, elapsed() - dark_since_);
            dark_ = -1;
        }
        old_reads += count_old_reads(site_, changes_, recovery_s);
        record("reads answered with a version that is too old: %d", old_reads);
        return old_reads > 0 ? result::broken : result::held;
    }

    fleet site_{2, true};
    std::uint64_t version_ = 1000;
    acknowledged_changes changes_;
    double dark_since_ = 0;
    bool was_writing_ = false; ///< as the leader was stopped in the latest attempt
    int dark_ = -1;
};

} // namespace

int main()
{
    signal(SIGPIPE, SIG_IGN);
    start_time();
    const auto out = stale_leader_case{}.run();
    record("exit %d", static_cast<int>(out));
    return static_cast<int>(out);
}
