// Guards daemons with a list of peers against a request that crashes each runner that runs it: the
// crashes that one daemon observed must count at all daemons.

#include "cedarpoint/request/dispatcher.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <random>

namespace cedarpoint {
namespace {

constexpr int daemon_count = 8;
constexpr int runner_count = 12;
const request_fingerprint crashing{1, 1};
/// Time between two submissions, after which a crashed runner has restarted.
constexpr duration pause = milliseconds{2500};

std::shared_ptr<const configuration> make_site()
{
    configuration out;
    account_spec account;
    account.id = client_account_id{"acme"};
    account.key_sha256 = "key-of-acme";
    account.home_failure_domain = failure_domain_id{"home"};
    account.priorities = {priority_class::normal};
    account.max_in_flight = 1000;
    out.accounts.push_back(account);
    out.services.push_back({service_id{"shop"}, "/shop", {}});
    return std::make_shared<const configuration>(out);
}

target_table make_targets()
{
    target_table out;
    for (int n = 0; n < runner_count; ++n) {
        target place;
        place.upstream = runner_id{fmt::format("s-{}", n)};
        place.service = service_id{"shop"};
        place.slots = 100;
        place.present = true;
        place.valid_until = instant::max();
        out.push_back(place);
    }
    return out;
}

/// Daemons that send requests to the runners of a service. The request `crashing` ends its runner.
class daemons_with_a_crashing_request : public testing::Test {
protected:
    daemons_with_a_crashing_request()
    {
        for (int n = 0; n < daemon_count; ++n) {
            daemons.push_back(
                std::make_unique<dispatcher>(failure_domain_id{"home"}, dispatch_options{}));
            daemons.back()->set_configuration(make_site());
            (void)daemons.back()->set_targets(now, make_targets());
        }
    }

    /// Submits a request to a daemon and plays all its attempts. Returns true if it was refused as
    /// quarantined.
    bool submit_to(std::size_t at, const request_fingerprint& fingerprint)
    {
        request_facts facts;
        facts.id = request_id{fmt::format("r{}", ++submitted)};
        facts.key_digest = "key-of-acme";
        facts.path = "/shop/x";
        facts.safe_method = true;
        facts.fingerprint = fingerprint;
        return perform(*daemons[at], daemons[at]->submit(now, facts), fingerprint == crashing);
    }

    bool perform(dispatcher& it, const actions& all, bool crashes)
    {
        bool quarantined = false;
        for (const auto& each : all) {
            if (const auto* started = std::get_if<start_attempt>(&each)) {
                now += milliseconds{40};
                ended_runners += crashes ? 1 : 0;
                it.attempt_sending(started->attempt);
                const auto how = crashes ? attempt_end::cut : attempt_end::complete;
                perform(it, it.attempt_ended(now, started->attempt, how), crashes);
            }
            if (const auto* check = std::get_if<check_runner>(&each)) {
                it.runner_checked(now, check->runner, true);
            }
            if (const auto* refused = std::get_if<refuse>(&each)) {
                quarantined = refused->error.code == error_code::quarantined;
            }
        }
        return quarantined;
    }

    /// Delivers the crashes that each daemon knows to all others.
    void exchange_crashes()
    {
        for (const auto& from : daemons) {
            for (const auto& to : daemons) {
                if (from != to) {
                    to->merge_crashes(now, from->known_crashes());
                }
            }
        }
    }

    instant now{seconds{100}};
    std::vector<std::unique_ptr<dispatcher>> daemons;
    int submitted = 0;
    int ended_runners = 0; ///< number of runners that ended under the request `crashing`
};

TEST_F(daemons_with_a_crashing_request, count_the_crashes_that_the_others_observed)
{
    bool refused = false;
    for (std::size_t n = 0; n < 40; ++n) {
        refused = submit_to(n % daemon_count, crashing);
        now += pause;
        exchange_crashes();
    }
    EXPECT_TRUE(refused);
    EXPECT_EQ(ended_runners, crashes_to_quarantine);
    EXPECT_FALSE(submit_to(0, {2, 2})) << "another request";
}

TEST_F(daemons_with_a_crashing_request, restore_the_crashes_of_one_that_restarted)
{
    for (std::size_t n = 0; n < 5; ++n) {
        submit_to(0, crashing);
        now += pause;
    }
    exchange_crashes();
    daemons[0] = std::make_unique<dispatcher>(failure_domain_id{"home"}, dispatch_options{});
    daemons[0]->set_configuration(make_site());
    (void)daemons[0]->set_targets(now, make_targets());
    exchange_crashes();
    EXPECT_TRUE(submit_to(0, crashing));
    EXPECT_EQ(ended_runners, crashes_to_quarantine);
}

TEST_F(daemons_with_a_crashing_request, stop_retrying_a_request_after_its_second_runner)
{
    submit_to(3, crashing);
    EXPECT_EQ(ended_runners, crashes_to_stop_retries);
}

} // namespace
} // namespace cedarpoint
