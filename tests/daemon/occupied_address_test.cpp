// Guards against daemons that exit at the start because a killed predecessor still holds one of
// their addresses. When three control daemons were killed together, only one came back.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "support/fleet_processes.h"

#include <QTcpServer>

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::pass_time;

constexpr int net = 228; ///< part of the loopback range, since tests run in parallel

const std::string document = R"({"version":1,
    "routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"safe","timeoutMs":2000,
               "service":"shop"}],
    "services":[{"name":"shop"}]})";

TEST(daemons_whose_addresses_are_in_use, start_once_they_are_free)
{
    fleet_processes fleet{{net, 1, "occupied", false}};
    std::vector<std::unique_ptr<QTcpServer>> listeners;
    for (const auto& address : {fleet.mesh_address(0), fleet.controls()[1], fleet.entries()[0]}) {
        listeners.push_back(std::make_unique<QTcpServer>());
        ASSERT_TRUE(listeners.back()->listen(QHostAddress{QString::fromStdString(address.ip)},
                                             address.port));
    }
    fleet.start_all();
    pass_time(seconds{1});
    listeners.clear();
    EXPECT_TRUE(fleet.put(document));
    pass_time(milliseconds{500});
    for (int index = 0; index < fleet.count(); ++index) {
        EXPECT_TRUE(fleet.at(index).is_running()) << "daemon " << index;
    }
}

} // namespace
} // namespace cedarpoint
