// The command line: parses the arguments and runs one subcommand.

#include "cli/commands.h"
#include "cli/exit_code.h"

#include <CLI/CLI.hpp>
#include <QCoreApplication>

#include <fmt/format.h>
#include <functional>

namespace {

using namespace cedarpoint;

constexpr const char* version_text = "cedarpoint 0.1.0";
constexpr const char* default_daemon = "127.0.0.1:9100";
constexpr int max_apply_wait_s = 3600; ///< seconds

/// The options of all subcommands, filled by the parser.
struct arguments {
    std::string file;
    std::string daemon = default_daemon;
    std::string id;
    std::string kind;
    std::vector<std::string> also;
    int wait_seconds = 0;
    int rounds = 0;
    bool json = false;
};

class command_line {
public:
    command_line(int& argc, char** argv) : argc_{argc}, argv_{argv}
    {
        app_.require_subcommand(1);
        app_.footer("Exit codes: 0 done, 1 usage, 2 bad file, 3 refused, 4 no answer, 5 disk "
                    "failed, 6 not in force everywhere in time");
        add_serve();
        add_files();
        add_views();
        add_drains();
    }

    int run()
    {
        try {
            app_.parse(argc_, argv_);
        }
        catch (const CLI::ParseError& e) {
            return app_.exit(e) == 0 ? to_int(exit_code::done) : to_int(exit_code::usage);
        }
        return selected_command_();
    }

private:
    CLI::App* add(const char* name, const char* help, std::function<int()> run)
    {
        auto* out = app_.add_subcommand(name, help);
        out->callback([this, run = std::move(run)] { selected_command_ = run; });
        return out;
    }

    /// A subcommand that calls a daemon.
    CLI::App* add_call(const char* name, const char* help, std::function<int(const endpoint&)> run)
    {
        auto* out = add(name, help, [this, run = std::move(run)] {
            const auto to = endpoint::parse(in_.daemon);
            if (!to) {
                fmt::print(stderr, "--daemon {}: must be ip:port\n", in_.daemon);
                return to_int(exit_code::usage);
            }
            QCoreApplication app{argc_, argv_};
            return run(*to);
        });
        out->add_option("--daemon", in_.daemon, "operator listener of a daemon, ip:port")
            ->envname("CEDARPOINT_DAEMON")
            ->capture_default_str();
        return out;
    }

    void add_serve()
    {
        auto* it = add("serve", "Run a daemon with a fixed list of peers",
                       [this] { return run_serve(argc_, argv_, in_.file); });
        it->add_option("--settings", in_.file, "the daemon's settings, JSON with comments")
            ->required();
        auto* fleet =
            add("fleet", "Run a control or entry daemon of a fleet; discovers its peers from seeds",
                [this] { return run_fleet(argc_, argv_, in_.file); });
        fleet->add_option("--settings", in_.file, "the daemon's settings, JSON with comments")
            ->required();
        add("version", "Print the version", [] {
            fmt::print("{}\n", version_text);
            return to_int(exit_code::done);
        });
    }

    void add_files()
    {
        auto* check = add("check", "Validate a settings or declarative file offline",
                          [this] { return run_check(in_.file); });
        check->add_option("file", in_.file, "the file")->required();
        auto* apply =
            add_call("apply", "Apply a declarative file atomically", [this](const endpoint& to) {
                return run_apply(to, in_.file, in_.wait_seconds, in_.also);
            });
        apply->add_option("file", in_.file, "the file")->required();
        apply
            ->add_option("--wait", in_.wait_seconds,
                         "wait up to this many seconds until the revision is in force")
            ->check(CLI::Range(0, max_apply_wait_s));
        apply->add_option("--also", in_.also, "further daemons for --wait to poll, ip:port");
        auto* plan = add_call("plan", "Show what a declarative file would change (dry run)",
                              [this](const endpoint& to) { return run_plan(to, in_.file); });
        plan->add_option("file", in_.file, "the file")->required();
    }

    void add_views()
    {
        auto* status = add_call("status", "Show groups, nodes, leases and the revision in force",
                                [this](const endpoint& to) { return run_status(to, in_.json); });
        status->add_flag("--json", in_.json, "as JSON");
        auto* top = add_call("top", "Show the status and refresh it every second",
                             [this](const endpoint& to) { return run_watch(to, in_.rounds); });
        top->add_option("--rounds", in_.rounds, "refreshes before it exits; 0: no limit")
            ->check(CLI::NonNegativeNumber);
        auto* explain = add_call("explain", "Show the routing decisions for one request",
                                 [this](const endpoint& to) { return run_explain(to, in_.id); });
        explain->add_option("request", in_.id, "the id from the Cedarpoint-Request-Id header")
            ->required();
        add_call("stop", "Stop a daemon gracefully: requests in flight finish first",
                 [](const endpoint& to) { return run_stop(to); });
    }

    void add_drains()
    {
        for (const bool draining : {true, false}) {
            auto* it = add_call(draining ? "drain" : "undrain",
                                draining ? "Drain a node, group or runner: no new requests"
                                         : "Undo a drain",
                                [this, draining](const endpoint& to) {
                                    return run_drain(to, {in_.kind, in_.id, draining});
                                });
            it->add_option("kind", in_.kind, "node, group or runner")
                ->required()
                ->check(CLI::IsMember({"node", "group", "runner"}));
            it->add_option("id", in_.id, "its id")->required();
        }
    }

    int& argc_;
    char** argv_;
    CLI::App app_{"Cedarpoint: serves models whose replicas span several nodes"};
    arguments in_;
    std::function<int()> selected_command_;
};

} // namespace

int main(int argc, char** argv)
{
    return command_line{argc, argv}.run();
}
