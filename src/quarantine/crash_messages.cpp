#include "cedarpoint/quarantine/crash_messages.h"

#include <algorithm>
#include <cstdint>

namespace cedarpoint {
namespace {

/// Larger ages are clamped to this one, so that the subtraction from the clock can't overflow.
constexpr std::uint64_t max_age_ms = std::uint64_t{1} << 40;

std::uint64_t to_age(instant now, instant at)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_ms(now - at)));
}

instant from_age(instant now, std::uint64_t ms)
{
    return now - milliseconds{static_cast<std::int64_t>(std::min(ms, max_age_ms))};
}

crash_observation decode_crash(instant made_at, const wire::crash_sighting& in)
{
    crash_observation out;
    out.runner = runner_id{in.runner()};
    out.ended_at = from_age(made_at, in.ended_ms());
    out.sent_at = std::min(from_age(made_at, in.sent_ms()), out.ended_at);
    out.daemon = daemon_id{in.daemon()};
    out.request = request_id{in.request()};
    if (in.has_connected_ms()) {
        out.connected_at = std::min(from_age(made_at, in.connected_ms()), out.ended_at);
    }
    out.serial = in.serial();
    out.position = in.position();
    return out;
}

crash_history decode_history(instant made_at, const wire::suspected_request& in)
{
    crash_history out;
    for (const auto& crash : in.crashes()) {
        out.crashes.push_back(decode_crash(made_at, crash));
    }
    if (in.answered()) {
        out.answered_at = from_age(made_at, in.answered_ms());
    }
    return out;
}

} // namespace

wire::crash_sighting encode_crash(instant now, const crash_observation& in)
{
    wire::crash_sighting out;
    out.set_runner(in.runner.str());
    out.set_sent_ms(to_age(now, in.sent_at));
    out.set_ended_ms(to_age(now, in.ended_at));
    out.set_daemon(in.daemon.str());
    out.set_request(in.request.str());
    if (in.connected_at) {
        out.set_connected_ms(to_age(now, *in.connected_at));
    }
    out.set_serial(in.serial);
    out.set_position(in.position);
    return out;
}

void encode_crashes(instant now, const crash_histories& in, suspected_requests& out)
{
    for (const auto& [cause, history] : in) {
        auto* each = out.Add();
        encode_cause(cause, *each);
        for (const auto& crash : history.crashes) {
            *each->add_crashes() = encode_crash(now, crash);
        }
        if (history.answered_at) {
            each->set_answered(true);
            each->set_answered_ms(to_age(now, *history.answered_at));
        }
    }
}

crash_histories decode_crashes(instant made_at, const suspected_requests& in)
{
    crash_histories out;
    for (const auto& each : in) {
        if (const auto cause = decode_cause(each)) {
            out[*cause] = decode_history(made_at, each);
        }
    }
    return out;
}

} // namespace cedarpoint
