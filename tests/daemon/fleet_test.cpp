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
class example_fleet {
public:
    explicit example_fleet(const std::string& name)
        : example_path_{std::string{SOURCE_DIR} + "/examples/" + name},
          declarative_file_(read_json(example_path_ + "/site.json"))
    {
        stand_in_runner::options engine;
        engine.token_ms = 10;
        engine.load_ms = 300;
        for (const auto& it : declarative_file_["runners"]) {
            add_engine(it["address"], engine);
        }
        for (const auto& it : declarative_file_["services"][0]["upstreams"]) {
            add_engine(it["address"], engine);
        }
        const auto first =
            read_json(example_path_ + "/settings-" +
                      declarative_file_["failure_domains"][0].get<std::string>() + "-1.json");
        for (const auto& peer : first["peers"]) {
            const std::string id = peer["id"];
            settings_[id] = read_json(example_path_ + "/settings-" + id + ".json");
            start(id);
        }
    }

    ~example_fleet()
    {
        for (auto& [id, it] : processes_) {
            it->kill();
            it->waitForFinished();
        }
    }

    example_fleet(const example_fleet&) = delete;
    example_fleet& operator=(const example_fleet&) = delete;

    void start(const std::string& id)
    {
        auto it = std::make_unique<QProcess>();
        it->setWorkingDirectory(folder_.path());
        it->setStandardErrorFile(
            QString::fromStdString(std::string{BINARY_DIR} + "/fleet-" + id + ".log"));
        it->start(BINARY_DIR "/cedarpoint",
                  {"serve", "--settings",
                   QString::fromStdString(example_path_ + "/settings-" + id + ".json")});
        it->waitForStarted();
        processes_[id] = std::move(it);
    }

    void kill(const std::string& id)
    {
        processes_.at(id)->kill();
        processes_.at(id)->waitForFinished();
    }

    void signal(const std::string& id, int signal_number)
    {
        ::kill(static_cast<pid_t>(processes_.at(id)->processId()), signal_number);
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

    /// Returns a daemon's status; an empty object if it does not answer.
    json status(const std::string& id)
    {
        raw_caller it{*endpoint::parse(settings_.at(id)["operators"].get<std::string>())};
        it.send(plain_request("GET", "/v1/status", "Connection: close\r\n", ""));
        it.wait_closed();
        const auto body_start = it.received().find("\r\n\r\n");
        return body_start == std::string::npos
                   ? json::object()
                   : json::parse(it.received().substr(body_start), nullptr, false);
    }

    bool apply(const std::string& id, const std::string& text)
    {
        raw_caller it{*endpoint::parse(settings_.at(id)["operators"].get<std::string>())};
        it.send(plain_request("POST", "/v1/configuration", "Connection: close\r\n", text));
        it.wait_closed();
        return status_of(it.received()) == 200;
    }

    int serving_groups(const std::string& id)
    {
        int n = 0;
        const auto reported = status(id);
        for (const auto& it : reported.value("groups", json::array())) {
            n += it["state"] == "serving" ? 1 : 0;
        }
        return n;
    }

    [[nodiscard]] std::string declarative_text() const { return declarative_file_.dump(); }
    [[nodiscard]] const json& declarative_file() const { return declarative_file_; }
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

    std::string example_path_;
    json declarative_file_;
    QTemporaryDir folder_;
    std::map<std::string, std::unique_ptr<stand_in_runner>> engines_;
    std::map<std::string, json> settings_;
    std::map<std::string, std::unique_ptr<QProcess>> processes_;
};

/// Behaves like the users' callers: repeats a request at another daemon if the error permits it,
/// and does not accept a partial answer.
class retrying_caller {
public:
    retrying_caller(example_fleet& fleet, std::string text, bool not_repeatable,
                    std::size_t first_id)
        : fleet_{fleet}, text_{std::move(text)}, not_repeatable_{not_repeatable}, next_id_{first_id}
    {
        send_again();
    }

    /// Processes received bytes. Returns true once the final answer has arrived.
    bool poll()
    {
        if (done_) {
            return true;
        }
        const auto& received = caller_->received();
        const bool closed = caller_->socket().state() == QAbstractSocket::UnconnectedState;
        if (received.find("[DONE]") != std::string::npos) {
            complete_ =
                tokens_in(received).size() == tokens && tokens_in(received).back() == tokens - 1;
            done_ = true;
        }
        else if (contains(received, "\"ran\":") && !contains(received, "\"ran\":\"not run\"") &&
                 not_repeatable_) {
            error_ = received;
            done_ = true;
        }
        else if (contains(received, "\"ran\":") || closed) {
            send_again(); // with its key, if any; the claim tells whether it ran
        }
        return done_;
    }

    /// Returns true if token 5 has arrived and the answer is not complete.
    [[nodiscard]] bool has_partial_answer()
    {
        return !done_ && caller_->received().find("\"t5 ") != std::string::npos;
    }
    [[nodiscard]] bool is_complete() const { return complete_; }
    [[nodiscard]] const std::string& text() const { return text_; }
    [[nodiscard]] const std::string& error() const { return error_; }
    static constexpr int tokens = 150;

private:
    static bool contains(const std::string& text, const char* part)
    {
        return text.find(part) != std::string::npos;
    }

    void send_again()
    {
        const auto ids = fleet_.ids();
        chat_options options{
            .tokens = tokens,
            .text = text_,
            .key =
                fleet_.declarative_file()["client_accounts"][0]["id"].get<std::string>() + "-key"};
        if (not_repeatable_) {
            options.headers =
                "Cedarpoint-Not-Repeatable: true\r\nIdempotency-Key: " + text_ + "\r\n";
        }
        auto request = chat_request(options);
        const std::string model = fleet_.declarative_file()["models"][0]["id"];
        const auto body_start = request.find("\r\n\r\n") + 4;
        auto body = json::parse(request.substr(body_start));
        body["model"] = model;
        caller_ = std::make_unique<raw_caller>(fleet_.callers(ids[next_id_++ % ids.size()]));
        caller_->send(fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
                                  "Bearer {}\r\n{}Content-Length: {}\r\n\r\n{}",
                                  options.key, options.headers, body.dump().size(), body.dump()));
    }

    example_fleet& fleet_;
    std::string text_;
    bool not_repeatable_;
    std::size_t next_id_;
    std::unique_ptr<raw_caller> caller_;
    bool done_ = false;
    bool complete_ = false;
    std::string error_;
};

class shipped_example : public testing::TestWithParam<const char*> {};

TEST_P(shipped_example, loses_and_doubles_nothing_under_kills_and_pauses)
{
    example_fleet fleet{GetParam()};
    const auto ids = fleet.ids();
    ASSERT_TRUE(wait_until([&] {
        return !fleet.status(ids[0])
                    .value("domain_log", json::object())
                    .value("leader", "")
                    .empty();
    }));
    ASSERT_TRUE(wait_until([&] { return fleet.apply(ids[4], fleet.declarative_text()); }));
    for (const auto& id : ids) {
        ASSERT_TRUE(wait_until([&] {
            return fleet.status(id).value("revision", 0) == 1 && fleet.serving_groups(id) == 4;
        })) << id;
    }

    std::vector<std::unique_ptr<retrying_caller>> callers;
    int next_number = 0;
    const auto add_callers = [&](int count) {
        for (int n = 0; n < count; ++n, ++next_number) {
            callers.push_back(std::make_unique<retrying_caller>(
                fleet, fmt::format("note-{:04}", next_number), next_number % 4 == 0,
                static_cast<std::size_t>(next_number)));
        }
    };
    const auto wait_for_answers = [&](int count) {
        const auto answered = [&] {
            return std::count_if(callers.begin(), callers.end(),
                                 [](auto& it) { return it->poll(); });
        };
        const auto from = answered();
        return wait_until([&] { return answered() >= from + count; });
    };
    const auto wait_for_partial_answers = [&] {
        return wait_until([&] {
            for (const auto& it : callers) {
                it->poll();
            }
            return std::count_if(callers.begin(), callers.end(),
                                 [](auto& it) { return it->has_partial_answer(); }) > 40;
        });
    };
    add_callers(60);
    ASSERT_TRUE(wait_for_partial_answers());
    const auto leader = fleet.status(ids[0])["domain_log"].value("leader", "");
    fleet.kill(leader); // this cuts off the streams of its callers
    ASSERT_TRUE(wait_for_answers(10));
    add_callers(60);
    ASSERT_TRUE(wait_for_partial_answers());
    fleet.kill_engine(fleet.declarative_file()["runners"][0]["address"]);
    const auto stopped_daemon = ids[4];
    fleet.signal(stopped_daemon, SIGSTOP);
    add_callers(60);
    ASSERT_TRUE(wait_for_answers(30));
    fleet.start(leader);
    fleet.signal(stopped_daemon, SIGCONT);
    add_callers(30);
    ASSERT_TRUE(wait_until([&] {
        return std::all_of(callers.begin(), callers.end(), [](auto& it) { return it->poll(); });
    }));
    int reported_failures = 0;
    for (const auto& it : callers) {
        const bool not_repeatable = std::stoi(it->text().substr(5)) % 4 == 0;
        if (not_repeatable) {
            EXPECT_LE(fleet.arrivals(it->text()), 1) << it->text();
            reported_failures += it->is_complete() ? 0 : 1;
        }
        else {
            EXPECT_TRUE(it->is_complete()) << it->text() << ": " << it->error();
        }
    }
    EXPECT_GT(reported_failures, 0)
        << "no request marked as not repeatable was cut off, so none was checked";
    std::printf("%zu answers, %d not repeatable ended with an error\n", callers.size(),
                reported_failures);
    // The killed daemon follows the log again, and all groups of its failure domain serve.
    ASSERT_TRUE(wait_until([&] {
        return fleet.status(leader).value("revision", 0) == 1 && fleet.serving_groups(leader) == 4;
    }));
}

INSTANTIATE_TEST_SUITE_P(examples, shipped_example, testing::Values("tdv-dispatch", "potting-shed"),
                         [](const auto& it) {
                             return std::string{it.param} == "tdv-dispatch" ? "tdv_dispatch"
                                                                            : "potting_shed";
                         });

} // namespace
} // namespace cedarpoint
