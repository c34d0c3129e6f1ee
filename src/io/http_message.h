#pragma once

#include "cedarpoint/core/time.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cedarpoint {

/// Header fields in their order. Names compare without case.
class http_fields {
public:
    void add(std::string name, std::string value)
    {
        all_.emplace_back(std::move(name), std::move(value));
    }
    /// The first value under a name; empty if there is none.
    [[nodiscard]] std::string_view get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    /// Every value under a name, in their order.
    [[nodiscard]] std::vector<std::string_view> values(std::string_view name) const;
    [[nodiscard]] const std::vector<std::pair<std::string, std::string>>& all() const
    {
        return all_;
    }

private:
    std::vector<std::pair<std::string, std::string>> all_;
};

bool equal_ignoring_case(std::string_view a, std::string_view b);

/// A request read whole.
struct http_request {
    std::string method;
    std::string target;
    http_fields fields;
    std::string body;
    duration waited{}; ///< since its latest bytes came, when it was read
};

/// The beginning of an answer.
struct http_head {
    int status = 0;
    http_fields fields;
};

/// "HTTP/1.1 200 OK" and the fields, with the empty line.
std::string serialize_head(const http_head& head);

} // namespace cedarpoint
