// Text from outside: UTF-8, or refused or replaced.

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/json_text.h"
#include "cedarpoint/core/text.h"

#include <gtest/gtest.h>

#include <random>

namespace cedarpoint {
namespace {

TEST(text, is_utf_8)
{
    for (const std::string it : {"", "plain", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x8c\xb2",
                                 "\xef\xbf\xbd", "with \"quotes\" and \\"}) {
        EXPECT_TRUE(is_text(it)) << it;
        EXPECT_EQ(to_text(it), it);
    }
    for (const std::string it : {"\xff\xfe", "cut \xc3", "\xc0\xaf", "surrogate \xed\xa0\x80",
                                 "too large \xf4\x90\x80\x80", "\x80"}) {
        EXPECT_FALSE(is_text(it));
        EXPECT_TRUE(is_text(to_text(it)));
    }
    EXPECT_EQ(to_text("i-\xff"), "i-\xef\xbf\xbd");
}

TEST(an_id, holds_only_text)
{
    EXPECT_EQ(runner_id::read("i-1"), runner_id{"i-1"});
    EXPECT_FALSE(runner_id::read(""));
    EXPECT_FALSE(runner_id::read("i-\xff\xfe"));
    std::mt19937 random{1};
    for (int n = 0; n < 2000; ++n) {
        std::string bytes;
        for (auto size = random() % 8; size > 0; --size) {
            bytes.push_back(static_cast<char>(random() % 256));
        }
        EXPECT_TRUE(is_text(runner_id{bytes}.str()));
        EXPECT_EQ(runner_id::read(bytes).has_value(), !bytes.empty() && is_text(bytes));
        EXPECT_NO_THROW((void)write_json(nlohmann::json{{"id", bytes}}));
    }
}

} // namespace
} // namespace cedarpoint
