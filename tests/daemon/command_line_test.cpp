// Runs the command line as a separate process and checks its documented exit codes.

#include "daemon/site.h"

#include <QProcess>
#include <QTcpServer>
#include <QTimer>

#include <csignal>

#include <fstream>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using namespace testing_support;

struct outcome {
    int code = -1;
    std::string text; ///< standard output and standard error
};

outcome run(const QStringList& arguments)
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
    const auto good = write("good.json", R"({"role": "entry", "name": "e", "failure_domain": "z",
        "address": "10.0.0.1:7000", "callers": "10.0.0.1:80", "ready": "10.0.0.1:81",
        "seeds": ["10.0.0.9:90"], "retry_budget": {"ratio": 0.2}})");
    EXPECT_EQ(run({"check", good}).code, 0);
    const auto bad = write("bad.json", R"({"role": "control", "name": "c", "failure_domain": "z",
        "address": "somewhere", "control": "10.0.0.1:80", "seeds": [], "odd": 1})");
    const auto out = run({"check", bad});
    EXPECT_EQ(out.code, 2);
    for (const auto* fault : {"/address", "/data_folder", "/seeds", "/odd"}) {
        EXPECT_NE(out.text.find(fault), std::string::npos) << fault;
    }
    EXPECT_EQ(run({"fleet", "--settings", bad}).code, 2);
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
    std::string text;
    ASSERT_TRUE(wait_until([&] {
        text += process.readAll().toStdString();
        return text.find("event=in_force") != std::string::npos ||
               text.find("event=started") != std::string::npos;
    })) << text;
    bool passed = false;
    QTimer::singleShot(500, [&] { passed = true; });
    ASSERT_TRUE(wait_until([&] { return passed; }));
    ::kill(static_cast<pid_t>(process.processId()), SIGHUP);
    EXPECT_TRUE(wait_until([&] { return process.state() == QProcess::NotRunning; }));
}

TEST(the_command_line, exits_as_documented)
{
    site at{{}};
    ASSERT_TRUE(at.wait_serving());
    QTemporaryDir folder;
    const auto write = [&](const char* name, const std::string& text) {
        const auto path = folder.path().toStdString() + "/" + name;
        std::ofstream{path} << text;
        return QString::fromStdString(path);
    };
    const auto daemon = QString::fromStdString(at.operators().str());
    const auto next = write("next.json", at.file(1, "next", 1));
    const auto late = write("late.json", at.file(0, "late", 1));
    const auto bad = write("bad.json", "{\"based_on\": 0}");

    EXPECT_EQ(run({"version"}).code, 0);
    EXPECT_EQ(run({"--help"}).code, 0);
    EXPECT_EQ(run({}).code, 1);
    EXPECT_EQ(run({"drain", "pod", "x"}).code, 1);
    EXPECT_EQ(run({"status", "--daemon", "somewhere"}).code, 1);
    EXPECT_EQ(run({"check", bad}).code, 2);
    EXPECT_NE(run({"check", bad}).text.find("/change_id: is missing"), std::string::npos);
    EXPECT_EQ(run({"check", "no-such-file"}).code, 2);
    EXPECT_EQ(run({"serve", "--settings", bad}).code, 2);
    EXPECT_EQ(run({"check", next}).code, 0);
    EXPECT_EQ(run({"plan", next, "--daemon", daemon}).code, 0);
    EXPECT_EQ(run({"apply", next, "--wait", "18", "--daemon", daemon}).code, 0);
    EXPECT_EQ(run({"apply", next, "--daemon", daemon}).text, "accepted as revision 2\n");
    EXPECT_EQ(run({"apply", late, "--daemon", daemon}).code, 3);
    EXPECT_EQ(run({"plan", late, "--daemon", daemon}).code, 3);
    EXPECT_EQ(run({"apply", next, "--wait", "1", "--daemon", daemon, "--also", "127.0.0.1:1"}).code,
              6);
    EXPECT_NE(run({"status", "--daemon", daemon}).text.find("pool/0"), std::string::npos);
    EXPECT_EQ(run({"explain", "nobody", "--daemon", daemon}).code, 3);
    EXPECT_EQ(run({"status", "--daemon", "127.0.0.1:1"}).code, 4);
    EXPECT_EQ(run({"stop", "--daemon", daemon}).code, 0);
    EXPECT_TRUE(wait_until([&] { return at.exit_code() == 0; }));
}

} // namespace
} // namespace cedarpoint
