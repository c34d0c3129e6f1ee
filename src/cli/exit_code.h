#pragma once

namespace cedarpoint {

/// What every command's exit code means; documented in docs/OPERATIONS.md.
enum class exit_code {
    done = 0,
    usage = 1,         ///< the command line is wrong
    bad_file = 2,      ///< a file can't be read or has faults
    refused = 3,       ///< the system said no: conflict, faults, unknown request
    unreachable = 4,   ///< no answer: the change may or may not have been made
    disk_failed = 5,   ///< serve: durable state can't be written; the process ended at once
    not_everywhere = 6 ///< apply --wait: accepted, but some daemons were not seen to follow in time
};

constexpr int to_int(exit_code it)
{
    return static_cast<int>(it);
}

} // namespace cedarpoint
