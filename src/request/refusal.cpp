#include "cedarpoint/request/refusal.h"

#include "cedarpoint/core/json_text.h"

#include <array>
#include <nlohmann/json.hpp>

namespace cedarpoint {
namespace {

struct error_row {
    error_code code = error_code::bad_request;
    http_error http;
};

constexpr std::array error_table{
    error_row{error_code::bad_request, {400, "bad_request"}},
    error_row{error_code::body_too_large, {413, "body_too_large"}},
    error_row{error_code::head_too_large, {431, "head_too_large"}},
    error_row{error_code::timed_out_reading, {408, "timed_out_reading"}},
    error_row{error_code::unauthorized, {401, "unauthorized"}},
    error_row{error_code::forbidden_priority, {403, "forbidden_priority"}},
    error_row{error_code::unknown_model, {404, "unknown_model"}},
    error_row{error_code::unknown_path, {404, "unknown_path"}},
    error_row{error_code::rate_limited, {429, "rate_limited"}},
    error_row{error_code::too_many_in_flight, {429, "too_many_in_flight"}},
    error_row{error_code::queue_full, {503, "queue_full"}},
    error_row{error_code::no_group, {503, "no_group"}},
    error_row{error_code::deadline_passed, {504, "deadline_passed"}},
    error_row{error_code::shutting_down, {503, "shutting_down"}},
    error_row{error_code::claim_unavailable, {503, "claim_unavailable"}},
    error_row{error_code::claim_running, {409, "claim_running"}},
    error_row{error_code::already_ran, {409, "already_ran"}},
    error_row{error_code::upstream_failed, {502, "upstream_failed"}},
    error_row{error_code::answer_cut, {502, "answer_cut"}},
    error_row{error_code::too_many_connections, {503, "too_many_connections"}},
    error_row{error_code::quarantined, {429, "quarantined"}},
    error_row{error_code::no_memory, {503, "no_memory"}},
};

} // namespace

http_error describe(error_code it)
{
    for (const auto& row : error_table) {
        if (row.code == it) {
            return row.http;
        }
    }
    return {500, "internal"};
}

std::string_view name_of(run_state it)
{
    switch (it) {
    case run_state::not_run:
        return "not run";
    case run_state::may_have_run:
        return "may have run";
    case run_state::ran_cut:
        return "ran, answer cut";
    case run_state::ran:
        return "ran";
    }
    return "?";
}

std::string to_json(const refusal& it, std::string_view request)
{
    nlohmann::json error{{"code", describe(it.code).name},
                         {"ran", name_of(it.ran)},
                         {"message", it.text},
                         {"request_id", request}};
    if (it.retry_after) {
        error["retry_after_ms"] = it.retry_after->count();
    }
    return write_json(nlohmann::json{{"error", std::move(error)}});
}

} // namespace cedarpoint
