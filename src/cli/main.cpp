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
constexpr int max_apply_wait_s = 3600;

/// The options of all subcommands, filled by the parser.
struct arguments {
    std::string file;
    std::string daemon = default_daemon;
    std::string id;
    std::string kind;
    std::vector<std::string> other_daemons;
    int wait_seconds = 0;
    int rounds = 0;
    bool json = false;
};

class command_line {
public:
    command_line(int& argc, char** argv) : argc_{argc}, argv_{argv}
    {
        app_.require_subcommand(1);
        app_.footer(
            "Exit codes: 0 success, 1 usage error, 2 invalid file or daemon not started, "
            "3 refused, 4 no answer, 5 disk write failed, 6 not confirmed in force in time");
        add_daemon_commands();
        add_file_commands();
        add_operator_commands();
        add_drain_commands();
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
    CLI::App* add_command(const char* name, const char* help, std::function<int()> run)
    {
        auto* out = app_.add_subcommand(name, help);
        out->callback([this, run = std::move(run)] { selected_command_ = run; });
        return out;
    }

    /// Adds a subcommand that calls the operator listener of a daemon.
    CLI::App* add_daemon_call(const char* name, const char* help,
                              std::function<int(const endpoint&)> run)
    {
        auto* out = add_command(name, help, [this, run = std::move(run)] {
            const auto daemon = endpoint::parse(args_.daemon);
            if (!daemon) {
                fmt::print(stderr, "--daemon {}: must be ip:port\n", args_.daemon);
                return to_int(exit_code::usage);
            }
            QCoreApplication app{argc_, argv_};
            return run(*daemon);
        });
        out->add_option("--daemon", args_.daemon, "operator listener of a daemon, ip:port")
            ->envname("CEDARPOINT_DAEMON")
            ->capture_default_str();
        return out;
    }

    void add_daemon_commands()
    {
        auto* it = add_command("serve", "Run a daemon with a fixed list of peers",
                               [this] { return run_serve(argc_, argv_, args_.file); });
        it->add_option("--settings", args_.file, "settings file of the daemon, JSON with comments")
            ->required();
        auto* fleet = add_command(
            "fleet", "Run a control or entry daemon of a fleet; discovers its peers from seeds",
            [this] { return run_fleet(argc_, argv_, args_.file); });
        fleet
            ->add_option("--settings", args_.file,
                         "settings file of the daemon, JSON with comments")
            ->required();
        add_command("version", "Print the version", [] {
            fmt::print("{}\n", version_text);
            return to_int(exit_code::done);
        });
    }

    void add_file_commands()
    {
        auto* check = add_command("check", "Validate a settings or declarative file offline",
                                  [this] { return run_check(args_.file); });
        check->add_option("file", args_.file, "settings or declarative file")->required();
        auto* apply = add_daemon_call(
            "apply", "Apply a declarative file atomically", [this](const endpoint& daemon) {
                return run_apply(daemon, args_.file, args_.wait_seconds, args_.other_daemons);
            });
        apply->add_option("file", args_.file, "declarative file")->required();
        apply
            ->add_option("--wait", args_.wait_seconds,
                         "wait up to this many seconds until the revision is in force")
            ->check(CLI::Range(0, max_apply_wait_s));
        apply->add_option("--also", args_.other_daemons,
                          "other daemons that --wait polls as well, ip:port");
        auto* plan = add_daemon_call(
            "plan", "Show what a declarative file would change (dry run)",
            [this](const endpoint& daemon) { return run_plan(daemon, args_.file); });
        plan->add_option("file", args_.file, "declarative file")->required();
    }

    void add_operator_commands()
    {
        auto* status = add_daemon_call(
            "status", "Show groups, nodes, leases and the revision in force",
            [this](const endpoint& daemon) { return run_status(daemon, args_.json); });
        status->add_flag("--json", args_.json, "print the status as JSON");
        auto* top = add_daemon_call(
            "top", "Show the status and refresh it every second",
            [this](const endpoint& daemon) { return run_top(daemon, args_.rounds); });
        top->add_option("--rounds", args_.rounds,
                        "number of refreshes before it exits; 0: no limit")
            ->check(CLI::NonNegativeNumber);
        auto* explain = add_daemon_call(
            "explain", "Show the routing decisions for one request",
            [this](const endpoint& daemon) { return run_explain(daemon, args_.id); });
        explain->add_option("request", args_.id, "the id from the Cedarpoint-Request-Id header")
            ->required();
        add_daemon_call("stop", "Stop a daemon gracefully: requests in flight finish first",
                        [](const endpoint& daemon) { return run_stop(daemon); });
    }

    void add_drain_commands()
    {
        for (const bool draining : {true, false}) {
            auto* it =
                add_daemon_call(draining ? "drain" : "undrain",
                                draining ? "Drain a node, group or runner: no new requests"
                                         : "Undo a drain: new requests are accepted again",
                                [this, draining](const endpoint& daemon) {
                                    return run_drain(daemon, {args_.kind, args_.id, draining});
                                });
            it->add_option("kind", args_.kind, "node, group or runner")
                ->required()
                ->check(CLI::IsMember({"node", "group", "runner"}));
            it->add_option("id", args_.id, "id of the node, group or runner")->required();
        }
    }

    int& argc_;
    char** argv_;
    CLI::App app_{"Cedarpoint: routing and control for models whose replicas span several nodes"};
    arguments args_;
    std::function<int()> selected_command_;
};

} // namespace

int main(int argc, char** argv)
{
    return command_line{argc, argv}.run();
}
