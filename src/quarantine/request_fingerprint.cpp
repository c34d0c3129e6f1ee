#include "cedarpoint/quarantine/request_fingerprint.h"

#include <charconv>
#include <fmt/format.h>
#include <memory>
#include <xxhash.h>

namespace cedarpoint {
namespace {

constexpr std::size_t digits_per_half = 16;

/// Hashes the length first, so that inputs that differ only in the boundaries between fields have
/// different hashes.
void add_field(XXH3_state_t& state, std::string_view field)
{
    const std::uint64_t size = field.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, field.data(), field.size());
}

std::optional<std::uint64_t> parse_half(std::string_view text)
{
    constexpr int hex = 16;
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out, hex);
    const bool is_valid = ec == std::errc{} && end == text.data() + text.size() &&
                          text.find_first_not_of(digits) == std::string_view::npos;
    return is_valid ? std::optional{out} : std::nullopt;
}

} // namespace

std::string request_fingerprint::str() const
{
    return fmt::format("{:016x}{:016x}", high, low);
}

std::optional<request_fingerprint> request_fingerprint::parse(std::string_view text)
{
    if (text.size() != 2 * digits_per_half) {
        return {};
    }
    const auto high = parse_half(text.substr(0, digits_per_half));
    const auto low = parse_half(text.substr(digits_per_half));
    return high && low ? std::optional{request_fingerprint{*high, *low}} : std::nullopt;
}

request_fingerprint fingerprint_of(const fingerprint_input& in)
{
    const std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> state{XXH3_createState(),
                                                                                XXH3_freeState};
    XXH3_128bits_reset(state.get());
    for (const auto field : {in.account, in.method, in.host, in.target, in.body}) {
        add_field(*state, field);
    }
    const auto hash = XXH3_128bits_digest(state.get());
    return {hash.high64, hash.low64};
}

} // namespace cedarpoint
