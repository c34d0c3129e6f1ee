#include "cedarpoint/fleet/work_average.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

const work_average::model_key model{service_id{"pool"}, model_id{"large"}};

TEST(the_average_of_work, follows_a_lasting_change_and_not_a_burst)
{
    work_average average;
    instant now{seconds{100}};
    EXPECT_TRUE(average.all().empty());
    average.record(now, model, 10);
    EXPECT_DOUBLE_EQ(average.all().at(model), 10) << "the average starts at the first value";

    now += milliseconds{100};
    average.record(now, model, 100);
    EXPECT_LT(average.all().at(model), 17);

    for (int step = 0; step < 50; ++step) {
        now += milliseconds{100};
        average.record(now, model, 100);
    }
    EXPECT_GT(average.all().at(model), 95);
    average.clear();
    EXPECT_TRUE(average.all().empty());
}

} // namespace
} // namespace cedarpoint
