// The requests and checks of the soak test.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"
#include "soak/fleet_soak.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace cedarpoint::testing_support {
namespace {

std::string document(int version)
{
    return fmt::format(R"({{"version":{},
        "routes":[{{"name":"stream","host":"h.example","pathPrefix":"/ask/","kind":"streaming",
                    "timeoutMs":3000,"service":"pool","maxAttempts":2,"resumable":true,
                    "targetLatencyMs":300,"targetGapMs":300}},
                  {{"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
                    "timeoutMs":2000,"service":"shop","maxAttempts":2}}],
        "services":[{{"name":"pool","engine":{{"slots":4,"loadsPerS":100,"loads_at_once":50,
                      "formMs":10,"models":[{{"name":"small","size":3,"share":1,"loadS":0.5,
                      "warmS":0.1}}]}}}},{{"name":"shop"}}]}})",
                       version);
}

} // namespace

void fleet_soak::expect_all_running(const std::string& fault_history)
{
    for (int index = 0; index < fleet.count(); ++index) {
        EXPECT_TRUE(fleet.at(index).is_running())
            << "daemon " << index << " has ended: " << fault_history;
    }
}

void fleet_soak::expect_no_request_within_pauses() const
{
    for (const auto& it : pausing_runners) {
        EXPECT_EQ(it->within, 0) << "requests arrived within a pause";
    }
}

void fleet_soak::change_configuration()
{
    const int version = ++sent_version;
    const auto& control = fleet.controls()[random() % fleet.controls().size()];
    const auto answer = call(control, "POST", "/cedarpoint/config/put", "", document(version));
    if (answer.end == exchange_end::complete && answer.head.status == 200) {
        acknowledged_version = std::max(acknowledged_version, version);
    }
}

void fleet_soak::read_configuration()
{
    const int min_version = acknowledged_version;
    for (const auto& control : fleet.controls()) {
        const auto answer = call(control, "GET", "/cedarpoint/config/get", "", "");
        if (answer.end != exchange_end::complete || answer.head.status != 200) {
            continue;
        }
        const auto parsed = nlohmann::json::parse(answer.body, nullptr, false);
        ASSERT_TRUE(parsed.is_object()) << answer.body;
        const int version = parsed.at("version").get<int>();
        EXPECT_GE(version, min_version) << "the read missed an acknowledged version";
        EXPECT_EQ(answer.body, document(version)) << "the document differs from the one sent";
    }
}

bool fleet_soak::send_request()
{
    const auto sender = random() % entry_count;
    const auto entry = fleet.entries()[sender];
    const bool unsafe = random() % 2 == 0;
    const auto id = fmt::format("{}-r{}", sender, ++sent_requests);
    const auto headers = "X-Cedarpoint-Request-Id: " + id +
                         "\r\nX-Cedarpoint-Deadline-Ms: 3000\r\nX-Cedarpoint-Model: small\r\n"
                         "X-Cedarpoint-Prompt-Prefix: 5c1e07a2:800," +
                         fmt::format("{:x}:250\r\n", sent_requests);
    const auto served_before = served_total();
    const auto answer = call(entry, "POST", unsafe ? "/once/x" : "/ask/x", headers, id);
    const bool complete = answer.end == exchange_end::complete && answer.head.status == 200;
    if (complete) {
        EXPECT_EQ(answer.head.fields.get("X-Cedarpoint-Request-Id"), id);
        EXPECT_EQ(answer.body,
                  unsafe ? "plain " + id
                         : "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token "
                           "3\n\n");
    }
    if (unsafe) {
        EXPECT_LE(served_total() - served_before, 1) << id << " ran more than once";
    }
    EXPECT_NE(answer.head.status, quarantined_status)
        << id << " was quarantined but crashes no runner";
    const bool rejected = answer.end == exchange_end::complete &&
                          (answer.head.status == 503 || answer.head.status == 429);
    if (unsafe && rejected) {
        EXPECT_EQ(served_total(), served_before) << id << " was rejected but ran";
    }
    return complete;
}

int fleet_soak::send_crashing_request()
{
    const int sender = ++sent_crashing_requests % entry_count;
    const auto entry = fleet.entries()[static_cast<std::size_t>(sender)];
    const auto headers = fmt::format("X-Cedarpoint-Request-Id: {}-c{}\r\n"
                                     "X-Cedarpoint-Deadline-Ms: 2000\r\n",
                                     sender, sent_crashing_requests);
    return call(entry, "POST", "/once/x", headers, crashing_body).head.status;
}

std::size_t fleet_soak::crashing_arrivals() const
{
    std::size_t out = 0;
    for (const auto& runner : runners) {
        out += static_cast<std::size_t>(
            std::count_if(runner->arrivals.begin(), runner->arrivals.end(),
                          [](const auto& arrival) { return arrival.body == crashing_body; }));
    }
    return out;
}

void fleet_soak::expect_quarantine(const std::string& fault_history)
{
    pass_time(milliseconds{std::chrono::duration_cast<milliseconds>(contact_time)});
    const auto arrivals_before = crashing_arrivals();
    const auto max_arrivals =
        max_crashed_runners +
        (arrivals_before >= max_crashed_runners ? 0 : max_crashed_runners - arrivals_before);
    ASSERT_TRUE(wait_until([&] { return send_crashing_request() == quarantined_status; }))
        << fault_history;
    for (int n = 0; n < 10; ++n) {
        EXPECT_EQ(send_crashing_request(), quarantined_status) << fault_history;
    }
    EXPECT_LE(crashing_arrivals() - arrivals_before, max_arrivals)
        << fault_history << arrivals_before << " arrivals before";
}

int fleet_soak::send_request_with_crashing_part()
{
    const int sender = ++sent_crashing_requests % entry_count;
    const auto entry = fleet.entries()[static_cast<std::size_t>(sender)];
    const auto headers =
        fmt::format("X-Cedarpoint-Request-Id: {}-p{}\r\nX-Cedarpoint-Deadline-Ms: 2000\r\n"
                    "X-Cedarpoint-Model: small\r\n"
                    "X-Cedarpoint-Prompt-Prefix: 5c1e07a2:800,{}:400,f{:x}:250\r\n",
                    sender, sent_crashing_requests, crashing_part, sent_crashing_requests);
    return call(entry, "POST", "/once/x", headers, fmt::format("p{}", sent_crashing_requests))
        .head.status;
}

std::ptrdiff_t fleet_soak::count_arrivals_with_part(instant from) const
{
    std::ptrdiff_t out = 0;
    for (const auto& runner : runners) {
        out +=
            std::count_if(runner->arrivals.begin(), runner->arrivals.end(), [&](const auto& each) {
                return each.at > from && each.prompt_parts.find(crashing_part) != std::string::npos;
            });
    }
    return out;
}

void fleet_soak::expect_quarantined_part(const std::string& fault_history)
{
    pass_time(milliseconds{std::chrono::duration_cast<milliseconds>(contact_time)});
    const auto began = steady_now();
    int status = 0;
    while (steady_now() - began < seconds{12}) {
        status = send_request_with_crashing_part();
        send_request();
        pass_time(milliseconds{100});
    }
    EXPECT_EQ(status, quarantined_status) << fault_history;
    std::vector<instant> ends;
    for (const auto& runner : runners) {
        std::copy_if(runner->ends.begin(), runner->ends.end(), std::back_inserter(ends),
                     [&](instant at) { return at >= began; });
    }
    std::sort(ends.begin(), ends.end());
    if (ends.size() >= max_crashed_by_part) {
        const auto fifth = ends[max_crashed_by_part - 1];
        EXPECT_LE(count_arrivals_with_part(fifth + contact_time), max_arrivals_after_part)
            << fault_history << ends.size() << " crashes";
    }
}

int fleet_soak::served_total() const
{
    int out = 0;
    for (const auto& runner : runners) {
        out += runner->served();
    }
    return out;
}

} // namespace cedarpoint::testing_support
