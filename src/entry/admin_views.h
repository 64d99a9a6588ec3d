#pragma once

#include "core/membership.h"
#include "core/table.h"
#include "wire/object_reader.h"

#include <string>
#include <vector>

namespace lentilrack::entry {

/// Returns all known members, including this one, sorted by name.
wire::Json
membersView(const core::Membership& members);

/// Returns which live members have the revision or a newer one in force:
/// {"revision","in_force",
/// "members":[{"name","role","failure_domain","state","revision","in_force"}]}.
/// Leaving members are listed, but do not count for the top-level "in_force",
/// because they take no new work.
wire::Json
inForceView(const core::Membership& members, std::int64_t revision);

/// Returns the number of members in each state, and the names of the members
/// whose table is older than `revision`.
wire::Json
memberSummary(const core::Membership& members, std::int64_t revision);

/// Returns the tables of the history, newest first, each with its changes from
/// the previous revision.
wire::Json
historyView(const std::vector<core::Table>& tables);

} // namespace lentilrack::entry
