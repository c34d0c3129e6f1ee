// Runs tests/control/scenarios/*.scenario: several control planes under failures, in simulated
// time.

#include "control/world.h"
#include "support/scenario_file.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::scenario_step;
using testing_support::world;
using testing_support::world_options;
using lines = std::vector<std::string>;

milliseconds time_of(const std::string& text)
{
    const auto n = std::stoi(text);
    return text.ends_with("ms") ? milliseconds{n} : milliseconds{n * 1000};
}

int number(const scenario_step& in, const std::string& name, int fallback)
{
    const auto text = in.after(name);
    return text.empty() ? fallback : std::stoi(text);
}

class scenario_driver {
public:
    lines play(const scenario_step& step)
    {
        struct row {
            const char* verb;
            lines (scenario_driver::*function)(const scenario_step&);
        };
        static constexpr row table[] = {
            {"world", &scenario_driver::make},
            {"run", &scenario_driver::run},
            {"await", &scenario_driver::await},
            {"kill", &scenario_driver::kill},
            {"restart", &scenario_driver::restart},
            {"wipe", &scenario_driver::wipe},
            {"pause", &scenario_driver::pause},
            {"resume", &scenario_driver::resume},
            {"cut", &scenario_driver::cut},
            {"cut-one-way", &scenario_driver::cut_one_way},
            {"heal", &scenario_driver::heal},
            {"lose", &scenario_driver::lose},
            {"return", &scenario_driver::return_node},
            {"apply", &scenario_driver::apply},
            {"apply-many", &scenario_driver::apply_many},
            {"claim", &scenario_driver::claim},
            {"finish", &scenario_driver::finish},
            {"drain", &scenario_driver::drain},
            {"undrain", &scenario_driver::drain},
            {"show", &scenario_driver::show},
            {"disk-fails", &scenario_driver::disk_fails},
            {"disk-works", &scenario_driver::disk_works},
        };
        for (const auto& it : table) {
            if (step.verb() == it.verb) {
                if (needs_daemon(step) && !world_->is_up(resolve(step.word(0)))) {
                    return {step.word(0) + " is down"};
                }
                auto out = (this->*it.function)(step);
                if (world_ != nullptr && !world_->violation().empty()) {
                    out.push_back("BROKEN " + world_->violation());
                }
                return out;
            }
        }
        return {"no such verb: " + step.verb()};
    }

private:
    static bool needs_daemon(const scenario_step& step)
    {
        return step.verb() == "apply" || step.verb() == "claim" || step.verb() == "finish" ||
               step.verb() == "drain" || step.verb() == "undrain";
    }

    lines make(const scenario_step& in)
    {
        world_options options;
        options.zones = number(in, "zones", options.zones);
        options.daemons = number(in, "daemons", options.daemons);
        options.disks = number(in, "disks", options.daemons);
        options.nodes = number(in, "nodes", options.nodes);
        options.groups = number(in, "groups", options.groups);
        options.seed = static_cast<std::uint64_t>(number(in, "seed", 1));
        options.diskless = in.has("diskless");
        options.checks_epoch = !in.has("unchecked");
        world_ = std::make_unique<world>(options);
        return {};
    }

    lines run(const scenario_step& in)
    {
        world_->run(time_of(in.word(0)));
        return take_answers();
    }

    /// Syntax: await LIMIT WHAT ...
    lines await(const scenario_step& in)
    {
        const auto what = in.word(1);
        const auto name = in.word(2);
        const auto n = in.word(3);
        const auto done = [&] {
            if (what == "leader") {
                return world_->leader_of(name) != "none";
            }
            if (what == "no-leader") {
                return world_->leader_of(name) == "none";
            }
            if (what == "usable") {
                return world_->usable_groups(name) == std::stoi(n);
            }
            if (what == "in-force") {
                return world_->in_force_everywhere(std::stoull(name));
            }
            return what == "answer" && !world_->answers.empty();
        };
        const auto took = world_->run_until(done, time_of(in.word(0)));
        auto out = take_answers();
        out.push_back(took ? fmt::format("{} {} {} after {} ms", what, name, n, took->count())
                           : "NOT within " + in.word(0));
        return out;
    }

    lines kill(const scenario_step& in)
    {
        world_->kill(resolve(in.word(0)));
        return {};
    }

    lines restart(const scenario_step& in)
    {
        const auto name = resolve(in.word(0));
        world_->kill(name);
        world_->start(name);
        return {};
    }

    lines wipe(const scenario_step& in)
    {
        const auto name = resolve(in.word(0));
        world_->kill(name);
        world_->wipe(name);
        return {};
    }

    lines disk_fails(const scenario_step& in)
    {
        world_->disk(resolve(in.word(0)))
            .fail_write(number(in, "write", 0), static_cast<std::size_t>(number(in, "kept", 0)));
        return {};
    }

    lines disk_works(const scenario_step& in)
    {
        world_->disk(resolve(in.word(0))).work_again();
        return {};
    }

    lines pause(const scenario_step& in)
    {
        paused_ = resolve(in.word(0));
        world_->pause(paused_, true);
        return {};
    }

    lines resume(const scenario_step& in)
    {
        world_->pause(in.word(0) == "it" ? paused_ : in.word(0), false);
        return {};
    }

    lines cut(const scenario_step& in)
    {
        world_->cut(resolve(in.word(0)), resolve(in.word(1)), true);
        return {};
    }

    lines cut_one_way(const scenario_step& in)
    {
        world_->cut(resolve(in.word(0)), resolve(in.word(1)), false);
        return {};
    }

    lines heal(const scenario_step& in)
    {
        if (in.size() == 2) {
            world_->heal(in.word(0), in.word(1));
        }
        else {
            world_->heal();
        }
        return {};
    }

    lines lose(const scenario_step& in)
    {
        world_->lose_node(in.word(0), true);
        return {};
    }

    lines return_node(const scenario_step& in)
    {
        world_->lose_node(in.word(0), false);
        return {};
    }

    lines apply(const scenario_step& in)
    {
        world_->apply(resolve(in.word(0)), static_cast<std::uint64_t>(number(in, "on", 0)),
                      in.word(1), number(in, "extra", 0));
        return {};
    }

    /// Syntax: apply-many DAEMON COUNT FIRST. Submits COUNT changes, c<FIRST + 1> and on, one after
    /// the other.
    lines apply_many(const scenario_step& in)
    {
        const auto count = std::stoull(in.word(1));
        const auto first = std::stoull(in.word(2));
        int accepted = 0;
        for (std::uint64_t n = 0; n < count; ++n) {
            world_->apply(in.word(0), first + n, fmt::format("c{}", first + n + 1), 0);
            // The limit exceeds the 10 s for which a daemon retries an operator's command.
            world_->run_until([&] { return !world_->answers.empty(); }, seconds{20});
            const auto got = take_answers();
            accepted += !got.empty() && got.front().find(" accepted ") != std::string::npos ? 1 : 0;
        }
        return {fmt::format("{} accepted", accepted)};
    }

    lines claim(const scenario_step& in)
    {
        world_->claim(resolve(in.word(0)), in.word(1), in.word(2));
        return {};
    }

    lines finish(const scenario_step& in)
    {
        const auto outcome = in.word(3) == "ran"       ? claim_outcome::ran
                             : in.word(3) == "not-run" ? claim_outcome::not_run
                                                       : claim_outcome::may_have_run;
        world_->finish(resolve(in.word(0)), in.word(1), in.word(2), outcome);
        return {};
    }

    lines drain(const scenario_step& in)
    {
        world_->drain(resolve(in.word(0)), in.word(1), in.word(2), in.verb() == "drain");
        return {};
    }

    lines show(const scenario_step& in)
    {
        if (in.word(0) == "events") {
            return std::exchange(world_->events, {});
        }
        if (in.word(0) == "usable") {
            return {std::to_string(world_->usable_groups(in.word(1)))};
        }
        if (in.word(0) == "leader") {
            return {world_->leader_of(in.word(1))};
        }
        if (in.word(0) == "revision") {
            return {std::to_string(world_->plane(in.word(1)).domain().in_force().value)};
        }
        return {"no such view"};
    }

    lines take_answers() { return std::exchange(world_->answers, {}); }

    /// Returns the daemon that a name stands for: "leader-a" is zone a's leader, "root" the root's
    /// leader, "follower-a" the first running daemon of zone a that does not lead.
    std::string resolve(const std::string& name)
    {
        if (name == "root") {
            return world_->root_leader();
        }
        if (name.starts_with("leader-")) {
            return world_->leader_of(name.substr(name.size() - 1));
        }
        if (name.starts_with("follower-")) {
            const auto zone = name.substr(name.size() - 1);
            for (const auto& it : world_->names()) {
                if (it.starts_with(zone) && world_->is_up(it) && it != world_->leader_of(zone)) {
                    return it;
                }
            }
        }
        return name;
    }

    std::unique_ptr<world> world_;
    std::string paused_;
};

class control_scenario : public testing::TestWithParam<std::string> {};

TEST_P(control_scenario, prints_what_its_file_says)
{
    scenario_driver it;
    testing_support::check_scenario(
        std::string{SOURCE_DIR} + "/tests/control/scenarios/" + GetParam() + ".scenario",
        [&](const scenario_step& step) {
            auto out = it.play(step);
            for (const auto& line : out) {
                EXPECT_FALSE(line.starts_with("BROKEN")) << line;
                EXPECT_FALSE(line.starts_with("NOT within")) << GetParam() << ": " << line;
            }
            return out;
        });
}

INSTANTIATE_TEST_SUITE_P(files, control_scenario,
                         testing::ValuesIn(testing_support::list_scenarios("control/scenarios")),
                         [](const auto& it) { return it.param; });

} // namespace
} // namespace cedarpoint
