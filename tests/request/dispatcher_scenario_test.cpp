// Runs tests/request/scenarios/*.scenario against the dispatcher, step by step.

#include "cedarpoint/request/dispatcher.h"
#include "support/scenario_file.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::scenario_step;
using lines = std::vector<std::string>;

int number(const std::string& text, int fallback)
{
    return text.empty() ? fallback : std::stoi(text);
}

/// A dispatcher with the configuration and the targets that the scenario sets up.
class scenario_driver {
public:
    lines play(const scenario_step& step)
    {
        struct row {
            const char* verb;
            lines (scenario_driver::*function)(const scenario_step&);
        };
        static constexpr row table[] = {
            {"account", &scenario_driver::account}, {"route", &scenario_driver::route},
            {"service", &scenario_driver::service}, {"targets", &scenario_driver::targets},
            {"at", &scenario_driver::at},           {"submit", &scenario_driver::submit},
            {"claim", &scenario_driver::claim},     {"sending", &scenario_driver::sending},
            {"head", &scenario_driver::head},       {"event", &scenario_driver::event},
            {"end", &scenario_driver::end},         {"gone", &scenario_driver::gone},
            {"tick", &scenario_driver::tick},       {"stop", &scenario_driver::stop},
            {"show", &scenario_driver::show},       {"names", &scenario_driver::names},
            {"pauses", &scenario_driver::pauses},   {"leaves", &scenario_driver::leaves},
        };
        for (const auto& it : table) {
            if (step.verb() == it.verb) {
                return (this->*it.function)(step);
            }
        }
        return {"no such verb: " + step.verb()};
    }

private:
    lines account(const scenario_step& in)
    {
        account_spec it;
        it.id = client_account_id{in.word(0)};
        it.key_sha256 = "key-of-" + in.word(0);
        it.weight = number(in.after("weight"), 1);
        it.home_failure_domain = failure_domain_id{"home"};
        it.priorities = {priority_class::normal, priority_class::alarm, priority_class::bulk};
        it.max_in_flight = number(in.after("in-flight"), 1000);
        it.requests_per_minute = number(in.after("per-minute"), 0);
        config_.accounts.push_back(it);
        return use();
    }

    lines route(const scenario_step& in)
    {
        config_.routes.push_back({model_id{in.word(0)}, {}, {pool_id{in.word(1)}}});
        return use();
    }

    lines service(const scenario_step& in)
    {
        config_.services.push_back({service_id{in.word(0)}, in.word(1), {}});
        return use();
    }

    lines use()
    {
        dispatcher_.set_configuration(std::make_shared<const configuration>(config_));
        return {};
    }

    /// targets NAME:SLOTS[:draining|:absent|:expired] ...; a name with '/' is a group.
    lines targets(const scenario_step& in)
    {
        target_table all;
        for (std::size_t n = 0; n < in.size(); ++n) {
            const auto text = in.word(n);
            const auto colon = text.find(':');
            target place;
            place.upstream = runner_id{text.substr(0, colon)};
            place.slots = std::stoi(text.substr(colon + 1));
            place.failure_domain = failure_domain_id{"home"};
            place.valid_until = now_ + seconds{1000};
            if (const auto slash = text.find('/'); slash != std::string::npos) {
                place.group = group_id{text.substr(0, colon)};
                place.pool = pool_id{text.substr(0, slash)};
                place.assignment = {7};
            }
            else {
                place.service = config_.services.front().id;
            }
            place.draining = text.ends_with(":draining");
            place.present = !text.ends_with(":absent");
            if (text.ends_with(":expired")) {
                place.valid_until = now_;
            }
            all.push_back(place);
        }
        return show(dispatcher_.set_targets(now_, std::move(all)));
    }

    lines at(const scenario_step& in)
    {
        now_ = instant{milliseconds{std::stoi(in.word(0))}};
        return {};
    }

    lines submit(const scenario_step& in)
    {
        request_facts facts;
        facts.id = request_id{in.word(0)};
        facts.key_digest = "key-of-" + in.word(1);
        if (const auto path = in.after("path"); !path.empty()) {
            facts.path = path;
        }
        else {
            facts.model = model_id{in.after("model").empty() ? "m" : in.after("model")};
        }
        facts.streamed = in.has("stream");
        facts.safe_method = in.has("get");
        facts.not_repeatable = in.has("once");
        facts.idempotency_key = in.after("key");
        if (const auto text = in.after("session"); !text.empty()) {
            facts.session = session_id{text};
        }
        if (const auto text = in.after("deadline"); !text.empty()) {
            facts.deadline = now_ + milliseconds{std::stoi(text)};
        }
        facts.priority = parse_priority(in.after("priority"));
        return show(dispatcher_.submit(now_, std::move(facts)));
    }

    lines claim(const scenario_step& in)
    {
        const std::map<std::string, claim_verdict> verdicts{
            {"granted", claim_verdict::granted},
            {"running", claim_verdict::running},
            {"ran", claim_verdict::already_ran},
            {"unknown", claim_verdict::unknown_outcome},
            {"unavailable", claim_verdict::unavailable}};
        return show(
            dispatcher_.claim_answered(now_, request_id{in.word(0)}, verdicts.at(in.word(1))));
    }

    lines sending(const scenario_step& in)
    {
        dispatcher_.attempt_sending(attempt_of(in));
        return {};
    }

    lines head(const scenario_step& in)
    {
        dispatcher_.attempt_answering(attempt_of(in));
        return {};
    }

    /// names ATTEMPT VALUE ...: the response head of the attempt has these rate-limit values.
    lines names(const scenario_step& in)
    {
        std::vector<std::string> values;
        for (std::size_t n = 1; n < in.size(); ++n) {
            values.push_back(in.word(n));
        }
        answer_signals signals;
        signals.rate_limit = read_rate_limit({values.begin(), values.end()});
        const auto news = dispatcher_.attempt_signals(now_, attempt_of(in), signals);
        return {news.rate_limit ? "the rate limit has changed" : "no news"};
    }

    /// pauses ATTEMPT VALUE: the response head of the attempt is a 503 with this Retry-After.
    lines pauses(const scenario_step& in)
    {
        const auto value = in.word(1);
        (void)dispatcher_.attempt_signals(now_, attempt_of(in),
                                          read_answer_signals({503, {}, {value}, {}}));
        return {};
    }

    /// leaves ATTEMPT: the response head of the attempt announces that the runner leaves.
    lines leaves(const scenario_step& in)
    {
        const auto news = dispatcher_.attempt_signals(now_, attempt_of(in),
                                                      read_answer_signals({200, {}, {}, {"1"}}));
        return {news.leave ? "it leaves" : "no news"};
    }

    lines event(const scenario_step& in)
    {
        for (int n = 0; n < number(in.word(1), 1); ++n) {
            dispatcher_.attempt_event(attempt_of(in));
        }
        return {};
    }

    lines end(const scenario_step& in)
    {
        const std::map<std::string, attempt_end> ends{{"complete", attempt_end::complete},
                                                      {"refused", attempt_end::refused},
                                                      {"unsent", attempt_end::unsent},
                                                      {"cut", attempt_end::cut},
                                                      {"error", attempt_end::server_error}};
        return show(dispatcher_.attempt_ended(now_, attempt_of(in), ends.at(in.word(1))));
    }

    lines gone(const scenario_step& in)
    {
        return show(dispatcher_.caller_gone(now_, request_id{in.word(0)}));
    }
    lines tick(const scenario_step& /*in*/) { return show(dispatcher_.tick(now_)); }
    lines stop(const scenario_step& /*in*/) { return show(dispatcher_.begin_stop(now_)); }

    lines show(const scenario_step& /*in*/)
    {
        return {fmt::format("in flight {}, queued {}, sessions {}", dispatcher_.in_flight(),
                            dispatcher_.queued(), dispatcher_.sessions())};
    }

    static attempt_id attempt_of(const scenario_step& in)
    {
        return {static_cast<std::uint64_t>(std::stoi(in.word(0)))};
    }

    static lines show(const actions& all)
    {
        lines out;
        for (const auto& it : all) {
            out.push_back(std::visit([](const auto& what) { return show_one(what); }, it));
        }
        return out;
    }

    static std::string show_one(const start_attempt& it)
    {
        return fmt::format("start {} attempt {} on {} epoch {} resume {}", it.request.str(),
                           it.attempt.value, it.upstream.str(), it.assignment.value,
                           it.resume_after);
    }
    static std::string show_one(const cancel_attempt& it)
    {
        return fmt::format("cancel {}", it.attempt.value);
    }
    static std::string show_one(const refuse& it)
    {
        return fmt::format(
            "refuse {} {} \"{}\"{}", it.request.str(), describe(it.error.code).name,
            name_of(it.error.ran),
            it.error.retry_after ? fmt::format(" retry {}", it.error.retry_after->count()) : "");
    }
    static std::string show_one(const ask_claim& it)
    {
        return fmt::format("ask claim {} {} of {} at {}", it.request.str(), it.key.key,
                           it.key.account.str(), it.home.str());
    }
    static std::string show_one(const end_claim& it)
    {
        static constexpr const char* names[] = {"running", "ran", "may have run", "not run"};
        return fmt::format("end claim {} {}: {}", it.request.str(), it.key.key,
                           names[static_cast<int>(it.outcome)]);
    }
    static std::string show_one(const check_runner& it)
    {
        return fmt::format("check {} at {}", it.runner.str(), it.address.str());
    }
    static std::string show_one(const decision& it)
    {
        return fmt::format("decide {} {} {} ({})", it.step, it.request.str(), it.chosen, it.reason);
    }

    configuration config_;
    dispatcher dispatcher_{failure_domain_id{"home"},
                           {.permits = {.rate_fraction = 0.75, .daemons = 2, .seed = 1}}};
    instant now_{};
};

class dispatcher_scenario : public testing::TestWithParam<std::string> {};

TEST_P(dispatcher_scenario, prints_what_its_file_says)
{
    scenario_driver it;
    testing_support::check_scenario(std::string{SOURCE_DIR} + "/tests/request/scenarios/" +
                                        GetParam() + ".scenario",
                                    [&](const scenario_step& step) { return it.play(step); });
}

INSTANTIATE_TEST_SUITE_P(files, dispatcher_scenario,
                         testing::ValuesIn(testing_support::list_scenarios("request/scenarios")),
                         [](const auto& it) { return it.param; });

} // namespace
} // namespace cedarpoint
