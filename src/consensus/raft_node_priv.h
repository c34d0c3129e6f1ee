#pragma once

// Private declarations shared by the source files of raft_node.

#include "cedarpoint/consensus/raft_node.h"

namespace cedarpoint {

using msg = wire::raft_message;

inline msg make(msg::kind_t kind, std::uint64_t term)
{
    msg out;
    out.set_kind(kind);
    out.set_term(term);
    return out;
}

inline std::int64_t to_stamp(instant it)
{
    return it.time_since_epoch().count();
}

inline instant from_stamp(std::int64_t it)
{
    return instant{duration{it}};
}

} // namespace cedarpoint
