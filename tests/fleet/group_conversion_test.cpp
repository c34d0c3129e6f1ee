// The conditions for moving capacity from one model to another, on snapshots and plans without a
// leader.

#include "cedarpoint/fleet/group_conversion.h"
#include "fleet/snapshot_maker.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::large;
using testing_support::small;
using testing_support::snapshot_maker;

constexpr instant start{seconds{100}};

/// Two fabric domains of one failure domain, each with one large group, two small ones and a free
/// runner. Each serving runner has the other model's weights on its host.
class a_conversion : public testing::Test {
protected:
    a_conversion()
    {
        for (const auto* domain : {"a0", "a1"}) {
            add_group(domain, large, 4);
            add_group(domain, small, 3);
            add_group(domain, small, 3);
            maker.add(domain, 1, {large, small});
            ++next_;
        }
    }
    void add_group(const std::string& domain, const model_id& model, std::size_t size)
    {
        maker.add(domain, static_cast<int>(size), {model == large ? small : large});
        std::vector<std::size_t> members;
        planned_group group;
        for (std::size_t n = 0; n < size; ++n) {
            members.push_back(next_);
            group.members.push_back(maker.runner(next_).id);
            ++next_;
        }
        group.name = group_id{fmt::format("g{}", plan.groups().size())};
        group.model = model;
        group.phase = plan_phase::serving;
        plan.add(std::move(group));
        maker.set_serving(members, model);
    }
    std::optional<conversion_proposal> begin(instant now)
    {
        return conversions.begin_next(now, maker.snapshot(), plan);
    }

    snapshot_maker maker;
    group_plan plan;
    group_conversion conversions;

private:
    std::size_t next_ = 0;
};

TEST_F(a_conversion, takes_the_fewest_groups_that_make_room_with_the_free_runners)
{
    maker.set_work(large, 16);
    maker.set_work(small, 4);
    const auto next = begin(start);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->to->name, large);
    ASSERT_EQ(next->retired.size(), 1U) << "three members and a free runner make four";
    EXPECT_EQ(next->retired.front()->model, small);
    EXPECT_EQ(next->gained, 1U);
    for (const auto& runner : next->runners) {
        ASSERT_NE(conversions.reserved_for(runner), nullptr);
        EXPECT_EQ(*conversions.reserved_for(runner), large);
    }
    EXPECT_EQ(conversions.count_expected().at(large), 1U);
}

TEST_F(a_conversion, is_not_begun_for_a_model_with_room)
{
    maker.set_work(large, 7);
    maker.set_work(small, 1);
    EXPECT_FALSE(begin(start)) << "0.35 of the slots";
    maker.set_work(large, 9);
    EXPECT_TRUE(begin(start)) << "0.45 of the slots";
}

TEST_F(a_conversion, is_not_begun_where_the_giving_model_would_be_nearly_as_busy)
{
    maker.set_work(large, 16);
    maker.set_work(small, 12.1);
    EXPECT_FALSE(begin(start)) << "utilization of 0.8, and of 0.403 with one group less";
    maker.set_work(small, 12);
    EXPECT_TRUE(begin(start)) << "utilization of 0.8, and of 0.4 with one group less";
}

TEST_F(a_conversion, settles_when_the_work_stays_the_same)
{
    maker.set_work(large, 16);
    maker.set_work(small, 12);
    int begun = 0;
    for (auto now = start; now < start + seconds{60}; now += milliseconds{500}) {
        const auto next = begin(now);
        if (!next) {
            continue;
        }
        ++begun;
        const std::vector<runner_id> members{next->runners.begin(), next->runners.end()};
        conversions.on_formed(next->to->name, members);
        conversions.remove_finished(now, maker.snapshot());
        // As the planner does: the retired groups end and the new one serves.
        for (const auto* group : next->retired) {
            plan.find(group->name)->phase = plan_phase::releasing;
            maker.count_group(next->domain, small, -1);
        }
        maker.count_group(next->domain, large, 1);
    }
    EXPECT_EQ(begun, 1) << "the reverse conversion would not lower the higher utilization";
}

TEST_F(a_conversion, waits_while_many_runners_are_under_conversion)
{
    maker.set_work(large, 60);
    maker.set_work(small, 4);
    ASSERT_TRUE(begin(start));
    EXPECT_FALSE(begin(start + milliseconds{100})) << "the reports do not show the first one yet";
    EXPECT_FALSE(begin(start + seconds{1})) << "4 of 22 runners are more than an eighth";
}

TEST_F(a_conversion, leaves_a_failure_domain_one_group_of_each_model)
{
    maker.set_work(large, 60);
    maker.set_work(small, 1);
    std::size_t retired = 0;
    for (auto now = start; now < start + seconds{60}; now += seconds{1}) {
        if (const auto next = begin(now)) {
            retired += next->retired.size();
            for (const auto* group : next->retired) {
                plan.find(group->name)->phase = plan_phase::releasing;
            }
            conversions.on_formed(next->to->name, {next->runners.begin(), next->runners.end()});
            conversions.remove_finished(now, maker.snapshot());
        }
    }
    EXPECT_LE(retired, 3U) << "one of the four small groups remains in the only failure domain";
}

TEST_F(a_conversion, is_not_undone_before_its_effect_shows)
{
    maker.set_work(large, 16);
    maker.set_work(small, 4);
    const auto next = begin(start);
    ASSERT_TRUE(next);
    conversions.on_formed(large, {next->runners.begin(), next->runners.end()});
    conversions.remove_finished(start, maker.snapshot());
    maker.set_work(large, 2);
    maker.set_work(small, 36);
    EXPECT_FALSE(begin(start + seconds{4}));
    EXPECT_TRUE(begin(start + seconds{6})) << "the load has shifted";
}

TEST_F(a_conversion, ends_with_its_group_without_its_runners_or_when_it_is_overdue)
{
    maker.set_work(large, 16);
    maker.set_work(small, 4);
    auto next = begin(start);
    ASSERT_TRUE(next);
    const auto runner = *next->runners.begin();

    // Its group is formed.
    conversions.on_formed(large, {next->runners.begin(), next->runners.end()});
    conversions.remove_finished(start, maker.snapshot());
    EXPECT_EQ(conversions.count(), 0U);
    EXPECT_EQ(conversions.reserved_for(runner), nullptr);

    // One of its runners is lost, and the others are too few for a group.
    next = begin(start + seconds{1});
    ASSERT_TRUE(next);
    auto reduced = maker.snapshot();
    for (auto& each : reduced.runners) {
        each.usable = each.usable && each.latest->id != *next->runners.begin();
    }
    conversions.remove_finished(start + seconds{1}, reduced);
    EXPECT_EQ(conversions.count(), 0U);

    // It takes too long.
    next = begin(start + seconds{2});
    ASSERT_TRUE(next);
    EXPECT_FALSE(conversions.remove_finished(start + seconds{13}, maker.snapshot()));
    EXPECT_EQ(conversions.count(), 1U);
    EXPECT_TRUE(conversions.remove_finished(start + seconds{14}, maker.snapshot()));
    EXPECT_EQ(conversions.count(), 0U);
}

} // namespace
} // namespace cedarpoint
