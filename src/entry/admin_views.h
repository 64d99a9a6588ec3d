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

/// Returns for each member that is not dead whether its table has this revision
/// or a newer one:
/// {"revision","in_force",
/// "members":[{"name","role","failure_domain","state","revision","in_force"}]}.
/// The top-level "in_force" is true if all live members have such a table.
/// Leaving members are listed, but do not affect the top-level "in_force",
/// because they take no new work.
wire::Json
inForceView(const core::Membership& members, std::int64_t revision);

/// Returns the number of members in each state, and the names of the members
/// whose table is older than `revision`.
wire::Json
memberSummary(const core::Membership& members, std::int64_t revision);

/// Describes the tables of the history, given newest first: the revision of
/// each table, its numbers of rows and principals, and its changes from the
/// previous revision if the history has that revision.
wire::Json
historyView(const std::vector<core::Table>& tables);

} // namespace lentilrack::entry
