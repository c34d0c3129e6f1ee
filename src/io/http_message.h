#pragma once

#include "cedarpoint/core/byte_budget.h"
#include "cedarpoint/core/time.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cedarpoint {

/// Header fields in the order of the message. Names are compared case-insensitively.
class http_fields {
public:
    void add(std::string name, std::string value)
    {
        all_.emplace_back(std::move(name), std::move(value));
    }
    /// Returns the first value of a field; empty if there is none.
    [[nodiscard]] std::string_view get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    /// Returns all values of a field in the order of the message.
    [[nodiscard]] std::vector<std::string_view> values(std::string_view name) const;
    [[nodiscard]] const std::vector<std::pair<std::string, std::string>>& all() const
    {
        return all_;
    }

private:
    std::vector<std::pair<std::string, std::string>> all_;
};

bool equal_ignoring_case(std::string_view a, std::string_view b);

/// A complete request.
struct http_request {
    std::string method;
    std::string target;
    http_fields fields;
    std::string body;
    duration waited{}; ///< from the arrival of its last bytes until it was read
    std::shared_ptr<const byte_budget::reservation> memory{}; ///< of the body; shared by copies
};

/// The status and the header fields of an answer.
struct http_head {
    int status = 0;
    http_fields fields;
};

/// Returns the status line, the fields and the empty line that ends the head.
std::string serialize_head(const http_head& head);

} // namespace cedarpoint
