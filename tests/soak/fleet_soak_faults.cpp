// The faults that the soak test injects.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "soak/fleet_soak.h"

#include <QTimer>

#include <array>
#include <csignal>
#include <utility>

namespace cedarpoint::testing_support {

fleet_soak::fleet_soak() : random{GetParam()}, net{static_cast<int>(GetParam() % 200) + 20}
{
    for (int control = 0; control < control_count; ++control) {
        proxies.push_back(std::make_unique<loopback_proxy>(fleet.mesh_address(control),
                                                           fleet.bind_address(control)));
    }
    fleet.start_all();
    for (int n = 0; n < 4; ++n) {
        runners.push_back(
            std::make_unique<platform_runner>(fmt::format("i-{}", n), "pool", fleet.controls()));
    }
    for (int n = 0; n < 2; ++n) {
        runners.push_back(std::make_unique<platform_runner>(fmt::format("s-{}", n), "shop",
                                                            fleet.controls(), std::uint64_t{1000}));
        runners.back()->crash_trigger = crashing_body;
        runners.back()->crash_parts = {crashing_part};
        runners.back()->restart_delay = milliseconds{500};
    }
    std::vector<endpoint> addresses;
    for (const auto& runner : runners) {
        pausing_runners.push_back(std::make_unique<pausing_runner>(*runner));
        addresses.push_back(runner->address());
    }
    for (int entry = 0; entry < entry_count && has_cuts; ++entry) {
        runner_paths.push_back(
            std::make_unique<cuttable_paths>(fleet.runner_proxy_ip(entry), addresses));
    }
}

std::string fleet_soak::change_cut()
{
    const auto entry = cut_random() % entry_count;
    auto& paths = *runner_paths[entry];
    const auto choice = cut_random() % 8;
    if (choice >= 6) {
        paths.heal();
        return fmt::format("ended the cut of entry daemon {}; ", entry);
    }
    const std::array existing{path_cut::existing_t::stall, path_cut::existing_t::reset,
                              path_cut::existing_t::live_on};
    const std::array fresh{path_cut::fresh_t::hang, path_cut::fresh_t::refused};
    paths.cut({existing.at(choice % 3), fresh.at(choice / 3)});
    return fmt::format("cut off entry daemon {} in way {}; ", entry, choice);
}

void fleet_soak::send_bytes_that_are_no_text()
{
    std::string bytes = "n-\xff";
    for (auto n = 1 + text_random() % 3; n > 0; --n) {
        bytes.push_back(static_cast<char>(0x80 + text_random() % 0x80));
    }
    const auto* service = text_random() % 2 == 0 ? "pool" : "shop";
    const auto& control = fleet.controls()[text_random() % fleet.controls().size()];
    const auto answer = call(control, "POST", "/cedarpoint/instances/" + bytes + "/heartbeat", "",
                             testing_support::complete_heartbeat(service));
    EXPECT_NE(answer.head.status, 200) << "registers a runner whose id is no text";
    const auto entry = fleet.entries()[text_random() % entry_count];
    call(entry, "POST", "/ask/x",
         "X-Cedarpoint-Request-Id: " + bytes + "\r\nX-Cedarpoint-Model: " + bytes +
             "\r\nX-Cedarpoint-Deadline-Ms: 200\r\n",
         "why");
}

std::string fleet_soak::silence_a_runner()
{
    auto& runner = *runners[silence_random() % runners.size()];
    const milliseconds delay{silence_random() % 600};
    const milliseconds time{500 + silence_random() % 1000};
    if (silence_random() % 3 == 0) {
        return "";
    }
    QTimer::singleShot(delay, &silence_timers, [&runner, time] {
        if (!runner.is_silent()) {
            runner.fall_silent(time);
        }
    });
    return fmt::format("runner {} silent for {} ms in {} ms; ", runner.id(), time.count(),
                       delay.count());
}

void fleet_soak::request_pause()
{
    auto& runner = *pausing_runners[pause_random() % pausing_runners.size()];
    const auto sender = static_cast<int>(pause_random() % entry_count);
    runner.ask(sender, milliseconds{1500 + pause_random() % 2500});
}

void fleet_soak::restart(int index)
{
    fleet.start(index, false);
    for (const auto& it : pausing_runners) {
        it->drop_pauses(index - control_count);
    }
}

std::string fleet_soak::inject_fault()
{
    const auto index = static_cast<int>(random() % static_cast<unsigned>(fleet.count()));
    auto& daemon = fleet.at(index);
    auto& proxy = *proxies[random() % proxies.size()];
    switch (random() % 9) {
    case 0:
        daemon.signal(SIGKILL);
        pass_time(milliseconds{random() % 600});
        restart(index);
        return fmt::format("killed daemon {}", index);
    case 1:
        daemon.signal(SIGSTOP);
        pass_time(milliseconds{300 + random() % 1800});
        daemon.signal(SIGCONT);
        return fmt::format("stopped and continued daemon {}", index);
    case 2:
        daemon.signal(SIGTERM);
        wait_until([&] { return !daemon.is_running(); });
        restart(index);
        return fmt::format("restarted daemon {}", index);
    case 3:
        daemon.signal(SIGHUP);
        return fmt::format("sent SIGHUP to daemon {}", index);
    case 4:
        proxy.set_stalled(true);
        pass_time(milliseconds{500 + random() % 1500});
        proxy.set_stalled(false);
        proxy.reset_connections();
        return "stalled a proxy";
    case 5:
        proxy.reset_connections();
        return "reset the connections of a proxy";
    case 6:
        proxy.set_caller_blocked(true);
        pass_time(milliseconds{500 + random() % 1500});
        proxy.set_caller_blocked(false);
        proxy.reset_connections();
        return "blocked the caller's direction of a proxy";
    case 7:
        proxy.set_delay(static_cast<int>(random() % 80));
        return "delayed a proxy";
    default:
        for (int control = 0; control < control_count; ++control) {
            fleet.at(control).signal(SIGKILL);
        }
        for (int control = 0; control < control_count; ++control) {
            fleet.start(control, false);
        }
        return "killed all control daemons";
    }
}

} // namespace cedarpoint::testing_support
