// Runs the shipped examples as nine processes in three failure domains on the loopback interface.
// Under traffic, with kill -9 and SIGSTOP, no answer may be lost or duplicated.

#include "daemon/site.h"

#include <QProcess>

#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

namespace cedarpoint {
namespace {

using namespace testing_support;
using json = nlohmann::json;

json read_json(const std::string& path)
{
    std::ifstream in{path};
    return json::parse(in, nullptr, true, true);
}

/// The daemons of an example as processes. Its engines run in the test's process.
class fleet {
public:
    explicit fleet(const std::string& name)
        : base_{std::string{SOURCE_DIR} + "/examples/" + name},
          site_(read_json(base_ + "/site.json"))
    {
        stand_in_runner::options engine;
        engine.token_ms = 10;
        engine.load_ms = 300;
        for (const auto& it : site_["runners"]) {
            add_engine(it["address"], engine);
        }
        for (const auto& it : site_["services"][0]["upstreams"]) {
            add_engine(it["address"], engine);
        }
        const auto first = read_json(base_ + "/settings-" +
                                     site_["failure_domains"][0].get<std::string>() + "-1.json");
        for (const auto& peer : first["peers"]) {
            const std::string id = peer["id"];
            settings_[id] = read_json(base_ + "/settings-" + id + ".json");
            start(id);
        }
    }

    ~fleet()
    {
        for (auto& [id, it] : processes_) {
            it->kill();
            it->waitForFinished();
        }
    }

    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    void start(const std::string& id)
    {
        auto it = std::make_unique<QProcess>();
        it->setWorkingDirectory(folder_.path());
        it->setStandardErrorFile(
            QString::fromStdString(std::string{BINARY_DIR} + "/fleet-" + id + ".log"));
        it->start(
            BINARY_DIR "/cedarpoint",
            {"serve", "--settings", QString::fromStdString(base_ + "/settings-" + id + ".json")});
        it->waitForStarted();
        processes_[id] = std::move(it);
    }

    void kill(const std::string& id)
    {
        processes_.at(id)->kill();
        processes_.at(id)->waitForFinished();
    }

    void signal(const std::string& id, int number)
    {
        ::kill(static_cast<pid_t>(processes_.at(id)->processId()), number);
    }

    [[nodiscard]] std::vector<std::string> ids() const
    {
        std::vector<std::string> out;
        for (const auto& [id, it] : settings_) {
            out.push_back(id);
        }
        return out;
    }

    [[nodiscard]] endpoint callers(const std::string& id) const
    {
        return *endpoint::parse(settings_.at(id)["callers"].get<std::string>());
    }

    /// Returns a daemon's status; null if it does not answer.
    json status(const std::string& id)
    {
        raw_caller it{*endpoint::parse(settings_.at(id)["operators"].get<std::string>())};
        it.send(plain_request("GET", "/v1/status", "Connection: close\r\n", ""));
        it.wait_closed();
        const auto at = it.received().find("\r\n\r\n");
        return at == std::string::npos ? json::object()
                                       : json::parse(it.received().substr(at), nullptr, false);
    }

    bool apply(const std::string& id, const std::string& text)
    {
        raw_caller it{*endpoint::parse(settings_.at(id)["operators"].get<std::string>())};
        it.send(plain_request("POST", "/v1/configuration", "Connection: close\r\n", text));
        it.wait_closed();
        return status_of(it.received()) == 200;
    }

    int serving(const std::string& id)
    {
        int n = 0;
        const auto all = status(id);
        for (const auto& it : all.value("groups", json::array())) {
            n += it["state"] == "serving" ? 1 : 0;
        }
        return n;
    }

    [[nodiscard]] std::string site_text() const { return site_.dump(); }
    [[nodiscard]] const json& site() const { return site_; }
    void kill_engine(const std::string& address) { engines_.erase(address); }

    [[nodiscard]] int arrivals(const std::string& text) const
    {
        int out = 0;
        for (const auto& [address, it] : engines_) {
            for (const auto& [body, n] : it->arrivals()) {
                out += body.find(text) != std::string::npos ? n : 0;
            }
        }
        return out;
    }

private:
    void add_engine(const std::string& address, const stand_in_runner::options& options)
    {
        auto it = std::make_unique<stand_in_runner>(options);
        reason why;
        if (!it->start(*endpoint::parse(address), why)) {
            ADD_FAILURE() << why.str();
        }
        engines_[address] = std::move(it);
    }

    std::string base_;
    json site_;
    QTemporaryDir folder_;
    std::map<std::string, std::unique_ptr<stand_in_runner>> engines_;
    std::map<std::string, json> settings_;
    std::map<std::string, std::unique_ptr<QProcess>> processes_;
};

/// Behaves like the users' callers: repeats a request at another daemon if the error permits it,
/// and does not accept a partial answer.
class patient_caller {
public:
    patient_caller(fleet& at, std::string text, bool once, std::size_t first)
        : at_{at}, text_{std::move(text)}, once_{once}, turn_{first}
    {
        ask_again();
    }

    /// Processes received bytes. Returns true once the final answer has arrived.
    bool step()
    {
        if (done_) {
            return true;
        }
        const auto& got = caller_->received();
        const bool closed = caller_->socket().state() == QAbstractSocket::UnconnectedState;
        if (got.find("[DONE]") != std::string::npos) {
            whole_ = tokens_in(got).size() == tokens && tokens_in(got).back() == tokens - 1;
            done_ = true;
        }
        else if (says(got, "\"ran\":") && !says(got, "\"ran\":\"not run\"") && once_) {
            error_ = got;
            done_ = true;
        }
        else if (says(got, "\"ran\":") || closed) {
            ask_again(); // with its key, if any; the claim tells whether it ran
        }
        return done_;
    }

    /// Returns true if token 5 has arrived and the answer is not complete.
    [[nodiscard]] bool is_in_the_middle()
    {
        return !done_ && caller_->received().find("\"t5 ") != std::string::npos;
    }
    [[nodiscard]] bool is_whole() const { return whole_; }
    [[nodiscard]] const std::string& text() const { return text_; }
    [[nodiscard]] const std::string& error() const { return error_; }
    static constexpr int tokens = 150;

private:
    static bool says(const std::string& all, const char* part)
    {
        return all.find(part) != std::string::npos;
    }

    void ask_again()
    {
        const auto all = at_.ids();
        ask call{.tokens = tokens,
                 .text = text_,
                 .key = at_.site()["client_accounts"][0]["id"].get<std::string>() + "-key"};
        if (once_) {
            call.headers = "Cedarpoint-Not-Repeatable: true\r\nIdempotency-Key: " + text_ + "\r\n";
        }
        auto request = chat_request(call);
        const std::string model = at_.site()["models"][0]["id"];
        const auto body_at = request.find("\r\n\r\n") + 4;
        auto body = json::parse(request.substr(body_at));
        body["model"] = model;
        caller_ = std::make_unique<raw_caller>(at_.callers(all[turn_++ % all.size()]));
        caller_->send(fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
                                  "Bearer {}\r\n{}Content-Length: {}\r\n\r\n{}",
                                  call.key, call.headers, body.dump().size(), body.dump()));
    }

    fleet& at_;
    std::string text_;
    bool once_;
    std::size_t turn_;
    std::unique_ptr<raw_caller> caller_;
    bool done_ = false;
    bool whole_ = false;
    std::string error_;
};

class shipped_example : public testing::TestWithParam<const char*> {};

TEST_P(shipped_example, loses_and_doubles_nothing_under_kills_and_pauses)
{
    fleet at{GetParam()};
    const auto ids = at.ids();
    ASSERT_TRUE(wait_until([&] {
        return !at.status(ids[0]).value("domain_log", json::object()).value("leader", "").empty();
    }));
    ASSERT_TRUE(wait_until([&] { return at.apply(ids[4], at.site_text()); }));
    for (const auto& id : ids) {
        ASSERT_TRUE(wait_until([&] {
            return at.status(id).value("revision", 0) == 1 && at.serving(id) == 4;
        })) << id;
    }

    std::vector<std::unique_ptr<patient_caller>> callers;
    int named = 0;
    const auto add = [&](int count) {
        for (int n = 0; n < count; ++n, ++named) {
            callers.push_back(std::make_unique<patient_caller>(at, fmt::format("note-{:04}", named),
                                                               named % 4 == 0,
                                                               static_cast<std::size_t>(named)));
        }
    };
    const auto some_answered = [&](int more) {
        const auto answered = [&] {
            return std::count_if(callers.begin(), callers.end(),
                                 [](auto& it) { return it->step(); });
        };
        const auto from = answered();
        return wait_until([&] { return answered() >= from + more; });
    };
    const auto many_in_the_middle = [&] {
        return wait_until([&] {
            for (const auto& it : callers) {
                it->step();
            }
            return std::count_if(callers.begin(), callers.end(),
                                 [](auto& it) { return it->is_in_the_middle(); }) > 40;
        });
    };
    add(60);
    ASSERT_TRUE(many_in_the_middle());
    const auto leader = at.status(ids[0])["domain_log"].value("leader", "");
    at.kill(leader); // this cuts off the streams of its callers
    ASSERT_TRUE(some_answered(10));
    add(60);
    ASSERT_TRUE(many_in_the_middle());
    at.kill_engine(at.site()["runners"][0]["address"]);
    const auto paused = ids[4];
    at.signal(paused, SIGSTOP);
    add(60);
    ASSERT_TRUE(some_answered(30));
    at.start(leader);
    at.signal(paused, SIGCONT);
    add(30);
    ASSERT_TRUE(wait_until([&] {
        return std::all_of(callers.begin(), callers.end(), [](auto& it) { return it->step(); });
    }));
    int honest_ends = 0;
    for (const auto& it : callers) {
        const bool once = std::stoi(it->text().substr(5)) % 4 == 0;
        if (once) {
            EXPECT_LE(at.arrivals(it->text()), 1) << it->text();
            honest_ends += it->is_whole() ? 0 : 1;
        }
        else {
            EXPECT_TRUE(it->is_whole()) << it->text() << it->error();
        }
    }
    EXPECT_GT(honest_ends, 0) << "the kill cut no such request off: nothing was proved";
    std::printf("%zu answers, %d not repeatable ended with an honest error\n", callers.size(),
                honest_ends);
    // The killed daemon follows the log again, and all groups of its failure domain serve.
    ASSERT_TRUE(wait_until(
        [&] { return at.status(leader).value("revision", 0) == 1 && at.serving(leader) == 4; }));
}

INSTANTIATE_TEST_SUITE_P(examples, shipped_example, testing::Values("tdv-dispatch", "potting-shed"),
                         [](const auto& it) {
                             return std::string{it.param} == "tdv-dispatch" ? "tdv_dispatch"
                                                                            : "potting_shed";
                         });

} // namespace
} // namespace cedarpoint
