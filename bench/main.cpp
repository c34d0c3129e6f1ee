// Runs the benchmarks behind the figures of docs/MEASUREMENTS.md; called by tools/measure.

#include "benches.h"

#include "daemon/loop_pacer.h"

#include <QCoreApplication>

#include <fmt/format.h>
#include <string_view>

int main(int argc, char** argv)
{
    cedarpoint::choose_event_loop();
    QCoreApplication app{argc, argv};
    struct benchmark {
        std::string_view name;
        void (*run)();
    };
    constexpr benchmark benchmarks[] = {
        {"relay", cedarpoint::bench::run_relay_bench},
        {"failover", cedarpoint::bench::run_failover_bench},
    };
    int run_count = 0;
    for (const auto& it : benchmarks) {
        bool wanted = argc == 1;
        for (int n = 1; n < argc; ++n) {
            wanted = wanted || it.name == argv[n];
        }
        if (wanted) {
            ++run_count;
            it.run();
        }
    }
    if (run_count == 0) {
        fmt::print(stderr, "unknown benchmark; available: relay, failover\n");
    }
    return run_count == 0 ? 1 : 0;
}
