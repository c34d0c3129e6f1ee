// Runs simulated model engines on several ports in one process, for the demo and for load tests on
// one machine.

#include "stand_in/stand_in_runner.h"

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <fmt/format.h>

#include <csignal>
#include <memory>
#include <vector>

int main(int argc, char** argv)
{
    CLI::App app{"Simulated model engines on consecutive ports"};
    std::string ip = "127.0.0.1";
    int port = 0;
    int count = 1;
    cedarpoint::stand_in_runner::options options;
    app.add_option("--ip", ip, "IP address to listen on");
    app.add_option("--port", port, "first port")->required();
    app.add_option("--count", count, "number of engines");
    app.add_option("--tokens", options.tokens,
                   "tokens in an answer to a request without max_tokens");
    app.add_option("--token-ms", options.token_ms, "time between two tokens in milliseconds");
    app.add_option("--load-ms", options.load_ms, "time to load a model in milliseconds");
    CLI11_PARSE(app, argc, argv);
    QCoreApplication qt{argc, argv};
    std::signal(SIGTERM, [](int) { std::_Exit(0); });
    std::vector<std::unique_ptr<cedarpoint::stand_in_runner>> runners;
    for (int n = 0; n < count; ++n) {
        runners.push_back(std::make_unique<cedarpoint::stand_in_runner>(options));
        cedarpoint::reason why;
        if (!runners.back()->start({ip, static_cast<std::uint16_t>(port + n)}, why)) {
            fmt::print(stderr, "{}\n", why.str());
            return 1;
        }
    }
    return QCoreApplication::exec();
}
