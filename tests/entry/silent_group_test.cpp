// Groups of several runners, one of which is sound and sends nothing for about a second, and plain
// answers of such a runner.

#include "daemon/site.h"
#include "fleet/fleet_site.h"

#include <QTimer>

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::call;
using testing_support::fleet_site;
using testing_support::http_answer;
using testing_support::pass_time;
using testing_support::platform_runner;
using testing_support::wait_until;

/// A silence that is no sign of a fault.
constexpr milliseconds silence{1200};

const std::string document = R"({"version":1,
    "routes":[{"name":"stream","host":"h.example","pathPrefix":"/ask/","kind":"streaming",
               "timeoutMs":6000,"service":"pool","maxAttempts":2,"resumable":true,"public":true,
               "targetLatencyMs":300,"targetGapMs":200},
              {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
               "timeoutMs":6000,"service":"shop","maxAttempts":2,"public":true},
              {"name":"unsafe","host":"h.example","pathPrefix":"/unsafe/","kind":"unsafe",
               "timeoutMs":6000,"service":"shop","maxAttempts":1,"public":true}],
    "services":[{"name":"shop"},
                {"name":"pool","engine":{"slots":8,"loadsPerS":100,"loads_at_once":50,
                 "formMs":10,"models":[{"name":"small","size":2,"share":1,"loadS":0.5,
                 "warmS":0.1}]}}]})";

const std::string deadline_headers =
    "X-Cedarpoint-Request-Id: r1\r\nX-Cedarpoint-Deadline-Ms: 6000\r\n";

std::string events(int count)
{
    std::string out;
    for (int n = 1; n <= count; ++n) {
        out += fmt::format("id: {0}\ndata: token {0}\n\n", n);
    }
    return out;
}

/// Two groups of two runners, and streams of twelve events.
class a_stream_of_a_group : public testing::Test {
protected:
    static constexpr int event_count = 12;

    void SetUp() override
    {
        ASSERT_EQ(site.put(document), 200);
        for (const auto* id : {"i-1", "i-2", "i-3", "i-4"}) {
            runners.push_back(std::make_unique<platform_runner>(id, "pool", site.controls()));
            runners.back()->events = event_count;
        }
        ASSERT_TRUE(wait_until([&] { return count_open() == 2; }));
        ASSERT_TRUE(wait_until([&] { return ask().end == exchange_end::complete; }));
        pass_time(milliseconds{400});
        // Gives the daemon so many requests that its retry budget allows another attempt.
        for (int n = 0; n < 20; ++n) {
            EXPECT_EQ(ask().end, exchange_end::complete);
        }
        for (auto& each : runners) {
            each->event_gap = milliseconds{80};
            each->arrivals.clear();
        }
    }
    [[nodiscard]] std::ptrdiff_t count_open() const
    {
        return std::count_if(runners.begin(), runners.end(),
                             [](const auto& each) { return each->is_open(); });
    }
    http_answer ask()
    {
        return call(site.callers(), "POST", "/ask/x",
                    deadline_headers + "X-Cedarpoint-Model: small\r\n", "why");
    }
    /// Calls `step` once the stream has begun, and returns the answer.
    template <typename Step>
    http_answer ask_and(Step step)
    {
        QTimer poll;
        QObject::connect(&poll, &QTimer::timeout, [&] {
            for (const auto& each : runners) {
                if (head == nullptr && !each->arrivals.empty()) {
                    head = each.get();
                    find_others();
                    QTimer::singleShot(120, [step] { step(); });
                }
            }
        });
        poll.start(5);
        return ask();
    }
    void find_others()
    {
        group = head->group();
        for (const auto& each : runners) {
            if (each.get() != head && each->group() == group) {
                member = each.get();
            }
            else if (each.get() != head && each->is_open()) {
                other_head = each.get();
            }
        }
    }
    void expect_group_kept()
    {
        pass_time(milliseconds{1500});
        EXPECT_EQ(head->group(), group);
        EXPECT_EQ(member->group(), group);
        EXPECT_TRUE(head->is_open());
    }

    fleet_site site;
    std::vector<std::unique_ptr<platform_runner>> runners;
    std::string group;
    platform_runner* head = nullptr;       ///< got the stream
    platform_runner* member = nullptr;     ///< of its group
    platform_runner* other_head = nullptr; ///< of the other group
};

// Guards against ending a group, and with it all its streams, whose head is silent for a second.
TEST_F(a_stream_of_a_group, goes_on_after_a_silence_of_its_head)
{
    const auto answer = ask_and([&] {
        other_head->refuse_request = [](const std::string&) { return std::string{}; };
        head->fall_silent(silence);
    });
    EXPECT_EQ(answer.end, exchange_end::complete);
    EXPECT_EQ(answer.body, events(event_count));
    expect_group_kept();
}

// Guards against ending a group whose streams stand still because another member is silent.
TEST_F(a_stream_of_a_group, goes_on_after_a_silence_of_all_members)
{
    const auto answer = ask_and([&] {
        other_head->refuse_request = [](const std::string&) { return std::string{}; };
        head->fall_silent(silence);
        member->fall_silent(silence);
    });
    EXPECT_EQ(answer.end, exchange_end::complete);
    EXPECT_EQ(answer.body, events(event_count));
    expect_group_kept();
}

TEST_F(a_stream_of_a_group, goes_on_while_a_member_is_silent)
{
    const auto answer = ask_and([&] { member->fall_silent(silence); });
    EXPECT_EQ(answer.end, exchange_end::complete);
    EXPECT_EQ(answer.body, events(event_count));
    expect_group_kept();
}

// Guards against giving up a stream whose group has left the view while no other one takes it.
TEST_F(a_stream_of_a_group, goes_on_at_a_group_that_has_ended_if_the_other_one_refuses)
{
    const auto answer = ask_and([&] {
        other_head->refuse_request = [](const std::string&) { return std::string{}; };
        member->restart_delay = milliseconds{100};
        member->crash();
    });
    EXPECT_EQ(answer.end, exchange_end::complete);
    EXPECT_EQ(answer.body, events(event_count));
    EXPECT_NE(head->group(), group);
}

/// One runner of a plain service, which takes 200 ms to answer.
class a_plain_answer : public testing::TestWithParam<bool> {
protected:
    void SetUp() override
    {
        ASSERT_EQ(site.put(document), 200);
        if (GetParam()) {
            runner.change_answers({.unframed = true});
        }
        ASSERT_TRUE(wait_until([&] { return ask("/safe/x").head.status == 200; }));
        runner.answer_time = milliseconds{200};
        runner.arrivals.clear();
    }
    http_answer ask(const std::string& target)
    {
        return call(site.callers(), "POST", target, deadline_headers, "b");
    }
    void expect_answer_after_silence(const std::string& target)
    {
        QTimer poll;
        QObject::connect(&poll, &QTimer::timeout, [&] {
            if (!runner.arrivals.empty()) {
                runner.fall_silent(silence);
                poll.stop();
            }
        });
        poll.start(5);
        const auto answer = ask(target);
        EXPECT_EQ(answer.head.status, 200);
        EXPECT_EQ(answer.body, "plain b");
        EXPECT_EQ(runner.arrivals.size(), 1U) << "it was sent once more";
    }
    void expect_answer_if_silent_before(const std::string& target)
    {
        ASSERT_TRUE(wait_until([&] { return ask("/safe/x").head.status == 200; }));
        runner.arrivals.clear();
        runner.fall_silent(silence);
        const auto answer = ask(target);
        EXPECT_EQ(answer.head.status, 200);
        EXPECT_EQ(runner.arrivals.size(), 1U) << "it was sent once more";
    }

    fleet_site site;
    platform_runner runner{"s-1", "shop", site.controls()};
};

INSTANTIATE_TEST_SUITE_P(framings, a_plain_answer, testing::Bool(), [](const auto& info) {
    return info.param ? "without_a_length" : "with_a_length";
});

TEST_P(a_plain_answer, comes_after_a_silence_if_the_request_is_safe)
{
    expect_answer_after_silence("/safe/x");
    expect_answer_if_silent_before("/safe/x");
}

TEST_P(a_plain_answer, comes_after_a_silence_if_the_request_may_run_only_once)
{
    expect_answer_after_silence("/unsafe/x");
    expect_answer_if_silent_before("/unsafe/x");
}

} // namespace
} // namespace cedarpoint
