// Runs stand-in engines on several ports in one process, for the demo and for load tests on one
// machine.

#include "stand_in/stand_in_runner.h"

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <fmt/format.h>

#include <csignal>
#include <memory>
#include <vector>

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in model engines on consecutive ports"};
    std::string ip = "127.0.0.1";
    int port = 0;
    int count = 1;
    cedarpoint::stand_in_runner::options options;
    app.add_option("--ip", ip, "IP address to listen on");
    app.add_option("--port", port, "first port")->required();
    app.add_option("--count", count, "how many");
    app.add_option("--tokens", options.tokens, "tokens in an answer, unless the request says");
    app.add_option("--token-ms", options.token_ms, "milliseconds between two tokens");
    app.add_option("--load-ms", options.load_ms, "milliseconds that a load takes");
    CLI11_PARSE(app, argc, argv);
    QCoreApplication qt{argc, argv};
    std::signal(SIGTERM, [](int) { std::_Exit(0); });
    std::vector<std::unique_ptr<cedarpoint::stand_in_runner>> all;
    for (int n = 0; n < count; ++n) {
        all.push_back(std::make_unique<cedarpoint::stand_in_runner>(options));
        cedarpoint::reason why;
        if (!all.back()->start({ip, static_cast<std::uint16_t>(port + n)}, why)) {
            fmt::print(stderr, "{}\n", why.str());
            return 1;
        }
    }
    return QCoreApplication::exec();
}
