#include "entry/event_cursor.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

TEST(an_event, is_forwarded_once)
{
    event_cursor cursor{""};
    EXPECT_TRUE(cursor.advance("id: 1\ndata: a\n\n"));
    EXPECT_TRUE(cursor.advance("data: b\r\nid:2\r\n\r\n"));
    EXPECT_EQ(cursor.last_id(), "2");
    EXPECT_FALSE(cursor.advance("id: 2\ndata: b\n\n"));
    EXPECT_FALSE(cursor.advance("id: 1\ndata: a\n\n"));
    EXPECT_TRUE(cursor.advance("id: 3\ndata: c\n\n"));
}

TEST(an_event, that_the_caller_reports_as_received_is_not_forwarded)
{
    event_cursor cursor{"12"};
    EXPECT_EQ(cursor.last_id(), "12");
    EXPECT_FALSE(cursor.advance("id: 12\ndata: a\n\n"));
    EXPECT_TRUE(cursor.advance("id: 13\ndata: b\n\n"));
}

TEST(an_event, without_a_numeric_id_is_always_forwarded)
{
    event_cursor cursor{"5"};
    EXPECT_TRUE(cursor.advance("data: no id\n\n"));
    EXPECT_EQ(cursor.last_id(), "5");
    EXPECT_TRUE(cursor.advance("id: seven\ndata: x\n\n"));
    EXPECT_EQ(cursor.last_id(), "seven");
}

} // namespace
} // namespace cedarpoint
