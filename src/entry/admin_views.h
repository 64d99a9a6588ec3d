#pragma once

#include "core/membership.h"
#include "core/table.h"
#include "wire/object_reader.h"

#include <string>
#include <vector>

namespace lentilrack::entry {

/// Every known member, itself included, sorted by name.
wire::Json
membersView(const core::Membership& members);

/// Which live members have the revision in force: {"revision","in_force",
/// "members":[{"name","role","failure_domain","state","revision","in_force"}]}.
/// Leaving members are listed, but "in_force" at the top does not wait for
/// them, because they take no new work.
wire::Json
inForceView(const core::Membership& members, std::int64_t revision);

/// Counts of members by state and the members whose table is older than the
/// one in force here.
wire::Json
memberSummary(const core::Membership& members, std::int64_t revision);

/// The tables of the past, newest first, each with what it changed.
wire::Json
historyView(const std::vector<core::Table>& tables);

} // namespace lentilrack::entry
