#pragma once

#include <functional>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// One line of a scenario, cut at blanks.
class scenario_step {
public:
    explicit scenario_step(const std::string& line);

    [[nodiscard]] const std::string& verb() const { return words_.front(); }
    /// The n-th word after the verb; empty if there are fewer.
    [[nodiscard]] std::string word(std::size_t n) const;
    /// The word after `name`; empty if `name` does not stand there.
    [[nodiscard]] std::string after(const std::string& name) const;
    [[nodiscard]] bool has(const std::string& name) const;
    [[nodiscard]] std::size_t size() const { return words_.size() - 1; }

private:
    std::vector<std::string> words_;
};

/// Plays a scenario and checks it as a golden file. Lines that begin with '>' are what the steps
/// above them must print, '#' begins a comment. `play` returns the lines that a step prints.
/// With GOLDEN=write in the environment the file is rewritten instead: read the difference.
void check_scenario(const std::string& path,
                    const std::function<std::vector<std::string>(const scenario_step&)>& play);

/// The scenario files in a folder below tests/, by name.
std::vector<std::string> list_scenarios(const std::string& folder);

} // namespace cedarpoint::testing_support
