#include "cedarpoint/quarantine/request_fingerprint.h"

#include <array>
#include <gtest/gtest.h>
#include <set>

namespace cedarpoint {
namespace {

const fingerprint_input base{"account", "POST", "h.example", "/ask/x?q=1", "body"};

TEST(request_fingerprint, is_the_same_for_the_same_content)
{
    EXPECT_EQ(fingerprint_of(base), fingerprint_of(base));
}

TEST(request_fingerprint, differs_with_each_part)
{
    auto account = base;
    account.account = "other";
    auto method = base;
    method.method = "PUT";
    auto host = base;
    host.host = "g.example";
    auto target = base;
    target.target = "/ask/x?q=2";
    auto body = base;
    body.body = "bodz";
    std::set<request_fingerprint> all{fingerprint_of(base)};
    for (const auto& each : {account, method, host, target, body}) {
        EXPECT_TRUE(all.insert(fingerprint_of(each)).second);
    }
}

TEST(request_fingerprint, keeps_the_boundaries_between_parts)
{
    auto shifted = base;
    shifted.target = "/ask/x?q=1b";
    shifted.body = "ody";
    EXPECT_NE(fingerprint_of(base), fingerprint_of(shifted));
}

TEST(request_fingerprint, reads_what_it_writes_and_nothing_else)
{
    const auto it = fingerprint_of(base);
    EXPECT_EQ(it.str().size(), 32U);
    EXPECT_EQ(request_fingerprint::parse(it.str()), it);
    const request_fingerprint small{0, 7};
    EXPECT_EQ(request_fingerprint::parse(small.str()), small);
    const std::array<std::string, 6> bad{"",
                                         "7",
                                         "0000000000000000000000000000000g",
                                         "-0000000000000010000000000000000",
                                         "0000000000000000000000000000000A",
                                         "000000000000000000000000000000071"};
    for (const auto& each : bad) {
        EXPECT_FALSE(request_fingerprint::parse(each)) << each;
    }
}

} // namespace
} // namespace cedarpoint
