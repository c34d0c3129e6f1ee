#pragma once

#include "fleet/platform_runner.h"
#include "runner_paths/cuttable_paths.h"
#include "soak/loopback_proxy.h"
#include "support/fleet_processes.h"
#include "support/pausing_runner.h"

#include <QObject>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// A fleet of processes with runners, and the faults, requests and checks of the soak test.
class fleet_soak : public testing::TestWithParam<std::uint64_t> {
protected:
    static constexpr int control_count = fleet_processes::control_count;
    static constexpr int entry_count = 2;
    /// Body of a request that crashes each runner that runs it. Once it has crashed
    /// `max_crashed_runners` and the daemons have been connected for `contact_time`, it reaches at
    /// most `max_crashed_runners` more.
    static constexpr const char* crashing_body = "ends-runners";
    static constexpr std::size_t max_crashed_runners = 3;
    static constexpr duration contact_time = seconds{3};
    static constexpr int quarantined_status = 429;
    /// Part of prompts that crashes each runner that runs a request with it. Once it has crashed
    /// `max_crashed_by_part` runners, at most `max_arrivals_after_part` such requests reach runners
    /// later than `contact_time`.
    static constexpr const char* crashing_part = "badc0de5";
    static constexpr std::size_t max_crashed_by_part = 5;
    static constexpr std::ptrdiff_t max_arrivals_after_part = 3;

    fleet_soak();
    /// Cuts an entry daemon off from all runners, or ends its cut. Uses its own random generator,
    /// so that the other random choices of a seed do not change.
    std::string change_cut();
    /// Sends bytes that are no text where a runner and a caller name something. Uses its own random
    /// generator, so that the other random choices of a seed do not change.
    void send_bytes_that_are_no_text();
    /// Expects that each daemon runs: one that ended did so by itself, since the faults start again
    /// what they end.
    void expect_all_running(const std::string& fault_history);
    /// Makes a runner that speaks silent for a while, now or soon, in two of three calls. Uses its
    /// own random generator, so that the other random choices of a seed do not change.
    std::string silence_a_runner();
    /// Makes one runner reject one entry daemon with a pause. Uses its own random generator, so
    /// that the other random choices of a seed do not change.
    void request_pause();
    void expect_no_request_within_pauses() const;
    /// Restarts a daemon that has exited.
    void restart(int index);
    std::string inject_fault();
    void change_configuration();
    void read_configuration();
    bool send_request();
    /// Sends the crashing request and returns the status. Uses no random numbers, so that the
    /// random choices of a seed do not change.
    int send_crashing_request();
    [[nodiscard]] std::size_t crashing_arrivals() const;
    /// Expects, without injected faults, that the crashing request is soon rejected permanently.
    void expect_quarantine(const std::string& fault_history);
    /// Sends a request with the crashing part that differs from all others. Uses no random numbers.
    int send_request_with_crashing_part();
    [[nodiscard]] std::ptrdiff_t count_arrivals_with_part(instant from) const;
    /// Expects, without injected faults, that requests with the crashing part are soon rejected,
    /// and that sound ones with the same first part are not.
    void expect_quarantined_part(const std::string& fault_history);
    [[nodiscard]] int served_total() const;

    std::mt19937_64 random;
    std::mt19937_64 pause_random{GetParam()};
    int net;
    std::mt19937_64 cut_random{GetParam()};
    std::mt19937_64 text_random{GetParam()};
    std::mt19937_64 silence_random{GetParam()};
    bool has_pauses = GetParam() % 5 == 2;
    bool has_crashing_request = GetParam() % 3 == 1;
    bool has_bytes_that_are_no_text = GetParam() % 3 == 0;
    /// Four seeds of sixteen in a row, so that silences meet each of the other faults.
    bool has_silences = GetParam() / 4 % 4 == 1;
    bool has_crashing_part = GetParam() % 4 < 2 && !has_crashing_request;
    /// Not with crashes, since the proxies accept connections to runners that are down, nor with
    /// pauses, which would count for the daemon that a request came from instead of the one that
    /// sent it to the runner.
    bool has_cuts = GetParam() % 4 >= 2 && !has_crashing_request && !has_pauses;
    fleet_processes fleet{
        {.net = net,
         .entry_daemons = entry_count,
         .log_name = fmt::format("soak-{}", GetParam()),
         .behind_proxies = true,
         .preload = GetParam() % 2 == 1 ? BINARY_DIR "/libsuspended_clock.so" : "",
         .behind_runner_proxies = has_cuts}};
    std::vector<std::unique_ptr<loopback_proxy>> proxies;
    std::vector<std::unique_ptr<platform_runner>> runners;
    std::vector<std::unique_ptr<pausing_runner>> pausing_runners;
    std::vector<std::unique_ptr<cuttable_paths>> runner_paths; ///< by entry daemon
    QObject silence_timers; ///< ends the timers of silences with the test
    int sent_version = 0;
    int acknowledged_version = 0;
    int sent_requests = 0;
    int sent_crashing_requests = 0;
};

} // namespace cedarpoint::testing_support
