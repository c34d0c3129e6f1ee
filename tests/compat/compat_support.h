#pragma once

#include "cedarpoint/consensus/replicated_log.h"
#include "cedarpoint/core/endpoint.h"

#include <QProcess>
#include <QTemporaryDir>

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

// Support for the compatibility tests. They compare with data and output of an earlier version, so
// they use stable interfaces only: the program, its HTTP interface, its log, the messages and the
// settings.
namespace cedarpoint::testing_support {

/// Returns the path of a file or folder below tests/compat.
std::string test_data_path(const std::string& name);
/// Returns the content of a file below tests/compat; empty if it can't be read.
std::string read_test_data(const std::string& name);
/// Returns the lines of a file below tests/compat that are neither empty nor comments.
std::vector<std::string> read_test_data_lines(const std::string& name);

/// Copies a folder below tests/compat to `to`, since a daemon changes its data folder.
void copy_test_data_folder(const std::string& name, const std::string& to);

/// Returns a free port on a loopback address that only this test process uses. Each `host_index`
/// has an address of its own.
endpoint find_free_endpoint(int host_index);

/// Opens the log in a folder as its only voter, and runs it until all its entries are applied to
/// `state`. Returns false on an error or a timeout.
bool replay_log(const std::string& folder, const std::string& self, replicated_state& state);

/// A process of the real program with its own settings file.
class cedarpoint_process {
public:
    cedarpoint_process(const std::string& subcommand, const nlohmann::json& settings);
    ~cedarpoint_process();
    cedarpoint_process(const cedarpoint_process&) = delete;
    cedarpoint_process& operator=(const cedarpoint_process&) = delete;

    void signal(int number) const;
    /// Returns all text on standard output and standard error so far.
    [[nodiscard]] std::string log() const;
    /// Waits for a log line that contains all of `parts`; returns false on a timeout
    /// or if the process ends without one.
    [[nodiscard]] bool wait_for_line(const std::vector<std::string>& parts) const;
    [[nodiscard]] bool has_line(const std::vector<std::string>& parts) const;
    /// Waits for the process to end. Returns its exit code; -1 on a timeout or a crash.
    int wait_for_exit();

private:
    QTemporaryDir folder_;
    QProcess process_;
};

using fields_by_event = std::map<std::string, std::set<std::string>>;

/// Returns the events of a log of JSON lines, each with the names of all its fields.
fields_by_event parse_event_fields(const std::string& log);
/// Returns the metrics in a text of the exposition format, each as "name type".
std::set<std::string> parse_metrics(const std::string& text);
/// Writes the observed counterpart of a golden file to the build folder, to help to update the
/// file.
void write_observed(const std::string& name, const std::string& text);

} // namespace cedarpoint::testing_support
