// Runs the command line as a separate process and checks its documented exit codes.

#include "daemon/site.h"
#include "support/answer_forms.h"
#include "support/raw_runner.h"

#include <QProcess>
#include <QTcpServer>
#include <QTimer>

#include <csignal>

#include <fstream>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using namespace testing_support;

struct process_result {
    int exit_code = -1;
    std::string output; ///< standard output and standard error
};

process_result run_command(const QStringList& arguments)
{
    QProcess it;
    it.setProcessChannelMode(QProcess::MergedChannels);
    it.start(BINARY_DIR "/cedarpoint", arguments);
    wait_until([&] { return it.state() == QProcess::NotRunning; });
    return {it.exitCode(), it.readAll().toStdString()};
}

TEST(the_command_line, checks_the_settings_of_a_fleets_daemon)
{
    QTemporaryDir folder;
    const auto write = [&](const char* name, const std::string& text) {
        const auto path = folder.path().toStdString() + "/" + name;
        std::ofstream{path} << text;
        return QString::fromStdString(path);
    };
    const auto valid = write("good.json", R"({"role": "entry", "name": "e", "failure_domain": "z",
        "address": "10.0.0.1:7000", "callers": "10.0.0.1:80", "ready": "10.0.0.1:81",
        "seeds": ["10.0.0.9:90"], "retry_budget": {"ratio": 0.2}})");
    EXPECT_EQ(run_command({"check", valid}).exit_code, 0);
    const auto invalid =
        write("bad.json", R"({"role": "control", "name": "c", "failure_domain": "z",
        "address": "somewhere", "control": "10.0.0.1:80", "seeds": [], "odd": 1})");
    const auto out = run_command({"check", invalid});
    EXPECT_EQ(out.exit_code, 2);
    for (const auto* pointer : {"/address", "/data_folder", "/seeds", "/odd"}) {
        EXPECT_NE(out.output.find(pointer), std::string::npos) << pointer;
    }
    EXPECT_EQ(run_command({"fleet", "--settings", invalid}).exit_code, 2);
}

TEST(the_command_line, ends_serve_on_a_hangup)
{
    QTemporaryDir folder;
    const auto path = folder.path().toStdString() + "/settings.json";
    QTcpServer callers;
    QTcpServer operators;
    ASSERT_TRUE(callers.listen(QHostAddress::LocalHost));
    ASSERT_TRUE(operators.listen(QHostAddress::LocalHost));
    std::ofstream{path} << R"({"id": "d", "failure_domain": "z", "callers": "127.0.0.1:)"
                        << callers.serverPort() << R"(", "operators": "127.0.0.1:)"
                        << operators.serverPort() << "\"}";
    callers.close();
    operators.close();
    QProcess process;
    process.setProcessChannelMode(QProcess::MergedChannels);
    process.start(BINARY_DIR "/cedarpoint", {"serve", "--settings", QString::fromStdString(path)});
    std::string output;
    ASSERT_TRUE(wait_until([&] {
        output += process.readAll().toStdString();
        return output.find("event=in_force") != std::string::npos ||
               output.find("event=started") != std::string::npos;
    })) << output;
    bool elapsed = false;
    QTimer::singleShot(500, [&] { elapsed = true; });
    ASSERT_TRUE(wait_until([&] { return elapsed; }));
    ::kill(static_cast<pid_t>(process.processId()), SIGHUP);
    EXPECT_TRUE(wait_until([&] { return process.state() == QProcess::NotRunning; }));
}

TEST(the_command_line, exits_as_documented)
{
    site fixture{{}};
    ASSERT_TRUE(fixture.wait_serving());
    QTemporaryDir folder;
    const auto write = [&](const char* name, const std::string& text) {
        const auto path = folder.path().toStdString() + "/" + name;
        std::ofstream{path} << text;
        return QString::fromStdString(path);
    };
    const auto operators_address = QString::fromStdString(fixture.operators().str());
    const auto next = write("next.json", fixture.declarative_file(1, "next", 1));
    const auto outdated = write("late.json", fixture.declarative_file(0, "late", 1));
    const auto invalid = write("bad.json", "{\"based_on\": 0}");

    EXPECT_EQ(run_command({"version"}).exit_code, 0);
    EXPECT_EQ(run_command({"--help"}).exit_code, 0);
    EXPECT_EQ(run_command({}).exit_code, 1);
    EXPECT_EQ(run_command({"drain", "pod", "x"}).exit_code, 1);
    EXPECT_EQ(run_command({"status", "--daemon", "somewhere"}).exit_code, 1);
    EXPECT_EQ(run_command({"check", invalid}).exit_code, 2);
    EXPECT_NE(run_command({"check", invalid}).output.find("/change_id: is missing"),
              std::string::npos);
    EXPECT_EQ(run_command({"check", "no-such-file"}).exit_code, 2);
    EXPECT_EQ(run_command({"serve", "--settings", invalid}).exit_code, 2);
    EXPECT_EQ(run_command({"check", next}).exit_code, 0);
    EXPECT_EQ(run_command({"plan", next, "--daemon", operators_address}).exit_code, 0);
    EXPECT_EQ(run_command({"apply", next, "--wait", "18", "--daemon", operators_address}).exit_code,
              0);
    EXPECT_EQ(run_command({"apply", next, "--daemon", operators_address}).output,
              "accepted as revision 2\n");
    EXPECT_EQ(run_command({"apply", outdated, "--daemon", operators_address}).exit_code, 3);
    EXPECT_EQ(run_command({"plan", outdated, "--daemon", operators_address}).exit_code, 3);
    EXPECT_EQ(run_command({"apply", next, "--wait", "1", "--daemon", operators_address, "--also",
                           "127.0.0.1:1"})
                  .exit_code,
              6);
    EXPECT_NE(run_command({"status", "--daemon", operators_address}).output.find("pool/0"),
              std::string::npos);
    EXPECT_EQ(run_command({"explain", "nobody", "--daemon", operators_address}).exit_code, 3);
    EXPECT_EQ(run_command({"status", "--daemon", "127.0.0.1:1"}).exit_code, 4);
    EXPECT_EQ(run_command({"stop", "--daemon", operators_address}).exit_code, 0);
    EXPECT_TRUE(wait_until([&] { return fixture.exit_code() == 0; }));
}

// Guards against an answer that a daemon did not send as it is read: reported as a success, or with
// a status or a body that is none.
TEST(the_command_line, takes_no_broken_answer_for_a_daemons)
{
    std::string bytes;
    raw_runner daemon{[&](const http_request&) { return raw_runner::reply{bytes, true}; }};
    const auto stop = [&](const answer_form& form) {
        bytes = form.bytes;
        const auto address = QString::fromStdString(daemon.address().str());
        return run_command({"stop", "--daemon", address});
    };
    for (const auto& form : broken_answers()) {
        const auto out = stop(form);
        EXPECT_EQ(out.exit_code, 4) << form.name << "\n" << out.output;
    }
    for (const auto& form : unusual_answers()) {
        const auto out = stop(form);
        EXPECT_EQ(out.exit_code, 0) << form.name << "\n" << out.output;
    }
    for (const auto& form : unframed_answers()) {
        const auto out = stop(form);
        EXPECT_EQ(out.exit_code, 0) << form.name << "\n" << out.output;
    }
}

} // namespace
} // namespace cedarpoint
