// A small fleet of real daemons on loopback addresses.
#pragma once

#include "case.h"
#include "http.h"
#include "process.h"
#include "proxy.h"

#include <linux/magic.h>
#include <sys/vfs.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// Three control daemons and some entry daemons, each in a failure domain of its own as far as
/// there are three. The settings are those of the templates in platform/.
class fleet {
public:
    static constexpr int control_count = 3;

    /// `behind_proxies`: the daemons listen for each other behind proxies.
    fleet(int entry_count, bool behind_proxies)
        : entry_count_{entry_count}, behind_proxies_{behind_proxies}
    {
        std::string name = temporary_folder() + "/review-XXXXXX";
        folder_ = mkdtemp(name.data()) != nullptr ? name : "";
        net_ = 16 + static_cast<int>(getpid() % 200);
        choose_ports();
        for (int n = 0; n < control_count + entry_count; ++n) {
            daemons_.push_back(std::make_unique<process>(program(), settings_file(n), log_file(n)));
        }
        for (int n = 0; n < control_count + entry_count && behind_proxies_; ++n) {
            proxies_.push_back(std::make_unique<proxy>(mesh(n), bound_mesh(n)));
        }
    }
    ~fleet()
    {
        proxies_.clear();
        daemons_.clear();
        std::error_code ec;
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(folder_, ec);
        }
    }
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    static std::string program()
    {
        const char* given = std::getenv("CEDARPOINT");
        return given != nullptr ? given : "target/cedarpoint";
    }
    bool can_run() const
    {
        return !folder_.empty() && access(program().c_str(), X_OK) == 0 &&
               std::all_of(proxies_.begin(), proxies_.end(),
                           [](const auto& each) { return each->is_listening(); });
    }

    void start(int daemon, bool first_start)
    {
        std::ofstream{settings_file(daemon)} << settings(daemon, first_start).dump(2);
        at(daemon).start();
    }
    void start_all()
    {
        for (int n = 0; n < control_count + entry_count_; ++n) {
            start(n, true);
        }
    }
    process& at(int daemon) { return *daemons_.at(static_cast<std::size_t>(daemon)); }
    process& entry_process(int entry) { return at(control_count + entry); }
    /// The proxy through which the other daemons reach this one.
    proxy& mesh_proxy(int daemon) { return *proxies_.at(static_cast<std::size_t>(daemon)); }
    std::string data_folder(int control) const
    {
        return folder_ + "/data-" + std::to_string(control);
    }
    std::string log_file(int daemon) const
    {
        return folder_ + "/log-" + std::to_string(daemon) + ".txt";
    }
    endpoint control(int n) const { return {ip(1, n), control_port_}; }
    std::vector<endpoint> controls() const
    {
        std::vector<endpoint> out;
        for (int n = 0; n < control_count; ++n) {
            out.push_back(control(n));
        }
        return out;
    }
    endpoint callers(int entry) const { return {ip(3, entry), callers_port_}; }
    endpoint ready(int entry) const { return {ip(3, entry), ready_port_}; }
    std::string runner_ip(int n) const { return ip(4, n); }

    /// Returns the control daemon that answers a read of the configuration itself.
    std::optional<int> leader() const
    {
        for (int n = 0; n < control_count; ++n) {
            if (call(control(n), "GET", "/cedarpoint/config/get", "", "", 300).status == 200) {
                return n;
            }
        }
        return {};
    }
    /// Sends a configuration until it is acknowledged. Returns false after `seconds`.
    bool put(const json& document, double seconds) const
    {
        const auto body = document.dump();
        const auto limit = elapsed() + seconds;
        while (elapsed() < limit) {
            if (control_call(controls(), "POST", "/cedarpoint/config/put", body).status == 200) {
                return true;
            }
            sleep_ms(100);
        }
        return false;
    }
    bool wait_ready(int entry, double seconds) const
    {
        const auto limit = elapsed() + seconds;
        while (elapsed() < limit) {
            if (call(ready(entry), "GET", "/cedarpoint/readyz", "", "", 300).status == 200) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

private:
    /// Returns a folder on a disk, since control daemons sync what they store.
    static std::string temporary_folder()
    {
        const char* given = std::getenv("TMPDIR");
        const std::string out = given != nullptr ? given : "/tmp";
        struct statfs about {};
        const bool in_memory = statfs(out.c_str(), &about) == 0 && about.f_type == TMPFS_MAGIC;
        return in_memory && access("/var/tmp", W_OK) == 0 ? "/var/tmp" : out;
    }
    std::string ip(int kind, int n) const
    {
        return "127." + std::to_string(net_) + "." + std::to_string(kind) + "." +
               std::to_string(n + 1);
    }
    endpoint mesh(int daemon) const
    {
        return {daemon < control_count ? ip(1, daemon) : ip(3, daemon - control_count), mesh_port_};
    }
    endpoint bound_mesh(int daemon) const { return {ip(2, daemon), mesh_port_}; }

    void choose_ports()
    {
        for (int* port :
             {&mesh_port_, &control_port_, &callers_port_, &forwards_port_, &ready_port_}) {
            endpoint any{"0.0.0.0", 0}; // free on all loopback addresses
            const int fd = listen_at(any);
            held_.push_back(fd);
            *port = any.port;
        }
        for (const int fd : held_) {
            close(fd);
        }
    }
    std::string settings_file(int daemon) const
    {
        return folder_ + "/settings-" + std::to_string(daemon) + ".json";
    }
    json settings(int daemon, bool first_start) const
    {
        json out{
            {"name", "d-" + std::to_string(daemon)}, {"stall_ms", 4000}, {"stop_bound_ms", 8000}};
        for (const auto& each : controls()) {
            out["seeds"].push_back(each.str());
        }
        out["address"] = mesh(daemon).str();
        if (behind_proxies_) {
            out["bind"] = bound_mesh(daemon).str();
        }
        if (daemon < control_count) {
            out["role"] = "control";
            out["failure_domain"] = "zone-" + std::to_string(daemon);
            out["control"] = control(daemon).str();
            out["data_folder"] = data_folder(daemon);
            out["tolerated_losses"] = 1;
            out["first_start"] = first_start;
            out["heartbeat_ms"] = 1200;
            return out;
        }
        const int entry = daemon - control_count;
        out["role"] = "entry";
        out["failure_domain"] = "zone-" + std::to_string(entry % control_count);
        out["forwards"] = endpoint{ip(3, entry), forwards_port_}.str();
        out["callers"] = callers(entry).str();
        out["ready"] = ready(entry).str();
        out["retry_budget"] = {{"ratio", 0.2}, {"window_ms", 10000}, {"slack", 134}};
        return out;
    }

    int entry_count_;
    bool behind_proxies_;
    std::string folder_;
    int net_ = 0;
    int mesh_port_ = 0;
    int control_port_ = 0;
    int callers_port_ = 0;
    int forwards_port_ = 0;
    int ready_port_ = 0;
    std::vector<int> held_;
    std::vector<std::unique_ptr<process>> daemons_;
    std::vector<std::unique_ptr<proxy>> proxies_;
};

} // namespace review
