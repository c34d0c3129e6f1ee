#pragma once

namespace cedarpoint {

/// Exit codes of all subcommands; documented in docs/OPERATIONS.md.
enum class exit_code {
    done = 0,
    usage = 1,        ///< the command line is wrong
    bad_file = 2,     ///< a file can't be read or is invalid, or a daemon could not start
    refused = 3,      ///< by the daemon: conflict, faults in the file, unknown request
    unreachable = 4,  ///< no answer: it is unknown whether the change was made
    disk_failed = 5,  ///< serve, fleet: a write to durable state failed; the process ended at once
    not_confirmed = 6 ///< apply --wait: accepted, but not confirmed on all polled daemons in time
};

constexpr int to_int(exit_code it)
{
    return static_cast<int>(it);
}

} // namespace cedarpoint
