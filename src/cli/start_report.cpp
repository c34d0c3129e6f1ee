#include "cli/start_report.h"

#include "cli/exit_code.h"
#include "io/log_line.h"

namespace cedarpoint {

int report_failed_start(const reason& why)
{
    log_line("can_not_start")
        .with("step", why.step)
        .with("peer", why.peer)
        .with("reason", why.text)
        .write();
    return to_int(exit_code::bad_file);
}

} // namespace cedarpoint
