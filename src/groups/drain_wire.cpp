#include "cedarpoint/groups/drain_wire.h"

namespace cedarpoint {
namespace {

constexpr const char* node_kind = "node";
constexpr const char* group_kind = "group";
constexpr const char* runner_kind = "runner";

template <class Id>
void set_mark(std::set<Id>& marks, const std::string& id, bool draining)
{
    if (draining) {
        marks.emplace(id);
    }
    else {
        marks.erase(Id{id});
    }
}

template <class Id>
void add_entries(const char* kind, const std::set<Id>& marks, drain_entries& to)
{
    for (const auto& it : marks) {
        auto* entry = to.Add();
        entry->set_kind(kind);
        entry->set_id(it.str());
    }
}

} // namespace

bool mark_drain(drain_marks& marks, const std::string& kind, const std::string& id, bool draining)
{
    if (kind == node_kind) {
        set_mark(marks.nodes, id, draining);
    }
    else if (kind == group_kind) {
        set_mark(marks.groups, id, draining);
    }
    else if (kind == runner_kind) {
        set_mark(marks.runners, id, draining);
    }
    else {
        return false;
    }
    return true;
}

void write_drains(const drain_marks& from, drain_entries& to)
{
    add_entries(node_kind, from.nodes, to);
    add_entries(group_kind, from.groups, to);
    add_entries(runner_kind, from.runners, to);
}

drain_marks read_drains(const drain_entries& from)
{
    drain_marks out;
    for (const auto& it : from) {
        mark_drain(out, it.kind(), it.id(), true);
    }
    return out;
}

} // namespace cedarpoint
