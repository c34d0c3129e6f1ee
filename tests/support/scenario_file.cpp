#include "support/scenario_file.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace cedarpoint::testing_support {

scenario_step::scenario_step(const std::string& line)
{
    std::istringstream in{line};
    for (std::string word; in >> word;) {
        words_.push_back(word);
    }
}

std::string scenario_step::word(std::size_t n) const
{
    return n + 1 < words_.size() ? words_[n + 1] : std::string{};
}

std::string scenario_step::after(const std::string& name) const
{
    const auto it = std::find(words_.begin() + 1, words_.end(), name);
    return it == words_.end() || it + 1 == words_.end() ? std::string{} : *(it + 1);
}

bool scenario_step::has(const std::string& name) const
{
    return std::find(words_.begin() + 1, words_.end(), name) != words_.end();
}

void check_scenario(const std::string& path,
                    const std::function<std::vector<std::string>(const scenario_step&)>& run_step)
{
    std::ifstream in{path};
    ASSERT_TRUE(in) << path;
    std::string expected;
    std::string actual;
    for (std::string line; std::getline(in, line);) {
        expected += line + "\n";
        if (line.starts_with(">")) {
            continue;
        }
        actual += line + "\n";
        if (line.find_first_not_of(' ') == std::string::npos || line.starts_with("#")) {
            continue;
        }
        for (const auto& it : run_step(scenario_step{line})) {
            actual += "> " + it + "\n";
        }
    }
    const char* mode = std::getenv("GOLDEN");
    if (mode != nullptr && std::string{mode} == "write") {
        std::ofstream{path} << actual;
        return;
    }
    EXPECT_EQ(actual, expected) << path;
}

std::vector<std::string> list_scenarios(const std::string& folder)
{
    std::vector<std::string> out;
    for (const auto& it :
         std::filesystem::directory_iterator{std::string{SOURCE_DIR} + "/tests/" + folder}) {
        if (it.path().extension() == ".scenario") {
            out.push_back(it.path().stem().string());
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

} // namespace cedarpoint::testing_support
