// A runner in trouble whose answers break the rules of HTTP/1.1, behind an entry daemon.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "fleet/platform_runner.h"
#include "io/clock.h"
#include "support/answer_forms.h"
#include "support/raw_runner.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <iterator>
#include <ostream>
#include <string>
#include <vector>

namespace cedarpoint {

namespace testing_support {

std::ostream& operator<<(std::ostream& out, const answer_form& it)
{
    return out << it.name;
}

} // namespace testing_support

namespace {

using namespace testing_support;

const std::string document = R"({"version":1,
    "routes":[{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
               "timeoutMs":8000,"service":"shop","maxAttempts":2,"public":true},
              {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
               "timeoutMs":8000,"service":"shop","maxAttempts":2,"public":true}],
    "services":[{"name":"shop"}]})";

/// Half of the time that the callers' requests have.
constexpr duration soon = milliseconds{4000};

class an_answer_of_a_runner_in_trouble : public testing::TestWithParam<answer_form> {
protected:
    an_answer_of_a_runner_in_trouble()
    {
        EXPECT_EQ(site.put(document), 200);
        EXPECT_TRUE(wait_until([&] { return announce() == 200; }));
    }
    /// Sends a heartbeat of the runner and returns the status of the answer.
    int announce()
    {
        const auto body =
            fmt::format(R"({{"service":"shop","address":"{}","zone":"z","slots":8,"version":"v1",)"
                        R"("state":"ready","coldRemainingMs":0,"sequence":{},"domain":"z-d0"}})",
                        runner.address().str(), ++sequence);
        const auto leader = site.leader();
        return leader ? call(site.controls().at(*leader), "POST",
                             "/cedarpoint/instances/trouble/heartbeat", "", body)
                            .head.status
                      : 0;
    }
    /// Sends a request, whose answer must not take until its deadline.
    http_answer ask(const std::string& target)
    {
        announce();
        const auto begun = steady_now();
        auto out = call(site.callers(), "POST", target,
                        "X-Cedarpoint-Request-Id: r1\r\nX-Cedarpoint-Deadline-Ms: 8000\r\n", "b");
        EXPECT_LT(steady_now() - begun, soon);
        EXPECT_EQ(out.end, exchange_end::complete);
        return out;
    }
    void await_runner()
    {
        EXPECT_TRUE(wait_until([&] { return ask("/once/first").head.status == 200; }));
    }

    fleet_site site;
    int broken = 0; ///< broken answers sent
    const std::string sound = unusual_answers().front().bytes;
    /// Keeps its connections open and answers only "/once/first" as it should.
    raw_runner runner{[this](const http_request& request) -> raw_runner::reply {
        if (request.target == "/once/first") {
            return {sound};
        }
        ++broken;
        return {GetParam().bytes};
    }};
    int sequence = 0;
};

// Guards against a caller that gets a broken answer or waits for the end of one.
TEST_P(an_answer_of_a_runner_in_trouble, to_an_unsafe_request_ends_it_with_an_unknown_outcome)
{
    await_runner();
    const auto out = ask("/once/x");
    EXPECT_EQ(out.head.status, 502);
    EXPECT_FALSE(out.head.fields.has("X-Cedarpoint-Instance-Signature"));
    EXPECT_NE(out.body.find("the runner's answer did not come"), std::string::npos) << out.body;
    EXPECT_EQ(broken, 1) << "an unsafe request is not repeated";
}

TEST_P(an_answer_of_a_runner_in_trouble, to_a_safe_request_is_replaced_by_a_sound_runners)
{
    platform_runner other{"sound", "shop", site.controls()};
    await_runner();
    EXPECT_TRUE(wait_until([&] {
        ask("/once/first");
        return other.served() > 0;
    }));
    EXPECT_TRUE(wait_until([&] {
        const auto out = ask("/safe/x");
        EXPECT_EQ(out.head.status, 200);
        EXPECT_FALSE(out.head.fields.get("X-Cedarpoint-Instance-Signature").empty());
        EXPECT_EQ(out.body.find(form_body), std::string::npos) << out.body;
        return broken > 0;
    }));
}

/// Returns the forms of these names.
std::vector<answer_form> choose(const std::vector<answer_form>& from,
                                const std::vector<std::string>& names)
{
    std::vector<answer_form> out;
    std::copy_if(from.begin(), from.end(), std::back_inserter(out), [&](const auto& it) {
        return std::find(names.begin(), names.end(), it.name) != names.end();
    });
    return out;
}

std::string name_of_case(const testing::TestParamInfo<answer_form>& in)
{
    std::string out = in.param.name;
    std::replace_if(
        out.begin(), out.end(), [](unsigned char it) { return std::isalnum(it) == 0; }, '_');
    return fmt::format("{}_{}", out, in.index);
}

INSTANTIATE_TEST_SUITE_P(folded_lines, an_answer_of_a_runner_in_trouble,
                         testing::ValuesIn(choose(folded_answers(),
                                                  {"blank", "after the signature", "after the id",
                                                   "length", "coding", "trailer"})),
                         name_of_case);
INSTANTIATE_TEST_SUITE_P(codings, an_answer_of_a_runner_in_trouble,
                         testing::ValuesIn(choose(answers_in_unknown_codings(),
                                                  {"chunks: 'gzip, chunked'", "plain: 'identity'",
                                                   "chunks: 'chunked, gzip'", "HTTP/1.0"})),
                         name_of_case);
INSTANTIATE_TEST_SUITE_P(statuses, an_answer_of_a_runner_in_trouble,
                         testing::ValuesIn(choose(answers_without_a_status(),
                                                  {"status '000'", "unframed"})),
                         name_of_case);
INSTANTIATE_TEST_SUITE_P(names, an_answer_of_a_runner_in_trouble,
                         testing::ValuesIn(choose(answers_with_a_spoiled_name(),
                                                  {"name 'X A'", "name of the length"})),
                         name_of_case);

} // namespace
} // namespace cedarpoint
