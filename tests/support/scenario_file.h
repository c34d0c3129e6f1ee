#pragma once

#include <functional>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// One line of a scenario, split at whitespace.
class scenario_step {
public:
    explicit scenario_step(const std::string& line);

    [[nodiscard]] const std::string& verb() const { return words_.front(); }
    /// Returns the n-th word after the verb (0: the first); empty if there are fewer.
    [[nodiscard]] std::string word(std::size_t n) const;
    /// Returns the word after `name`; empty if `name` is absent or the last word.
    [[nodiscard]] std::string after(const std::string& name) const;
    [[nodiscard]] bool has(const std::string& name) const;
    [[nodiscard]] std::size_t size() const { return words_.size() - 1; }

private:
    std::vector<std::string> words_;
};

/// Runs the steps of a scenario file and compares their output with it. Lines that begin with '>'
/// are the expected output of the step above them, '#' begins a comment. `run_step` returns the
/// output lines of a step. With GOLDEN=write in the environment the file is rewritten instead;
/// review the diff.
void check_scenario(const std::string& path,
                    const std::function<std::vector<std::string>(const scenario_step&)>& run_step);

/// Returns the sorted names, without extension, of the scenario files in a folder below tests/.
std::vector<std::string> list_scenarios(const std::string& folder);

} // namespace cedarpoint::testing_support
