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

// Support for the compatibility tests. They check data and output of an earlier version, so they
// use stable interfaces only: the program, its HTTP interface, its log, the messages and the
// settings.
namespace cedarpoint::testing_support {

/// Returns the path of a file or folder below tests/compat.
std::string kept_path(const std::string& name);
/// Returns the content of a file below tests/compat; empty if it can't be read.
std::string kept_text(const std::string& name);
/// Returns the lines of a file below tests/compat that are neither empty nor comments.
std::vector<std::string> kept_lines(const std::string& name);

/// Copies a kept data folder to `to`, since a daemon changes the folder at its start.
void copy_kept_folder(const std::string& name, const std::string& to);

/// Returns a free port on a loopback address that is unique to this test process and `host`.
endpoint free_endpoint(int host);

/// Opens a log's folder as its only voter, and runs the log until all its entries are applied to
/// `state`. Returns false if that fails.
bool read_log(const std::string& folder, const std::string& self, replicated_state& state);

/// Runs a process of the real program with its own settings file.
class daemon_run {
public:
    daemon_run(const std::string& subcommand, const nlohmann::json& settings);
    ~daemon_run();
    daemon_run(const daemon_run&) = delete;
    daemon_run& operator=(const daemon_run&) = delete;

    void signal(int number) const;
    /// Returns all text on standard output and standard error so far.
    [[nodiscard]] std::string log() const;
    /// Waits for a log line that contains all of `parts`; returns false on a timeout
    /// or if the process ends without one.
    [[nodiscard]] bool wait_for_line(const std::vector<std::string>& parts) const;
    [[nodiscard]] bool has_line(const std::vector<std::string>& parts) const;
    /// Waits for the process to end. Returns its exit code; -1 on a timeout or a crash.
    int wait_ended();

private:
    QTemporaryDir folder_;
    QProcess process_;
};

using names_by_event = std::map<std::string, std::set<std::string>>;

/// Returns the events of a log of JSON lines, each with the names of all its fields.
names_by_event events_in(const std::string& log);
/// Returns the metrics in a text of the exposition format, each as "name type".
std::set<std::string> metrics_in(const std::string& text);
/// Writes what a test found to the build folder, as input for changes of a golden file.
void note_found(const std::string& name, const std::string& text);

} // namespace cedarpoint::testing_support
