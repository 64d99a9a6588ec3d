#include "entry/admin_views.h"

#include "core/table_diff.h"
#include "wire/messages.h"

#include <algorithm>

namespace lentilrack::entry {

namespace {

using wire::Json;

std::vector<core::Member>
allMembers(const core::Membership& members)
{
  auto all = members.others();
  all.push_back(members.self());
  std::ranges::sort(
    all, {}, [](const core::Member& member) { return member.id; });
  return all;
}

bool
canTakeWork(const core::Member& member)
{
  return member.state == core::MemberState::Alive ||
         member.state == core::MemberState::Suspect;
}

} // namespace

Json
membersView(const core::Membership& members)
{
  Json list = Json::array();
  for (const auto& member : allMembers(members)) {
    list.push_back(wire::encode(member));
  }
  return { { "members", std::move(list) } };
}

Json
inForceView(const core::Membership& members, std::int64_t revision)
{
  Json list = Json::array();
  bool isInForce = true;
  for (const auto& member : allMembers(members)) {
    if (member.state == core::MemberState::Dead) {
      continue;
    }
    const bool hasRevision = member.tableRevision >= revision;
    isInForce = isInForce && (hasRevision || !canTakeWork(member));
    const auto encoded = wire::encode(member);
    list.push_back({ { "name", member.id.name },
                     { "role", encoded.at("role") },
                     { "failure_domain", member.failureDomain },
                     { "state", encoded.at("state") },
                     { "revision", member.tableRevision },
                     { "in_force", hasRevision } });
  }
  return { { "revision", revision },
           { "in_force", isInForce },
           { "members", std::move(list) } };
}

Json
memberSummary(const core::Membership& members, std::int64_t revision)
{
  std::map<std::string, int> counts;
  Json behind = Json::array();
  for (const auto& member : allMembers(members)) {
    ++counts[wire::encode(member).at("state").get<std::string>()];
    if (canTakeWork(member) && member.tableRevision < revision) {
      behind.push_back(member.id.name);
    }
  }
  return { { "members", counts }, { "behind", std::move(behind) } };
}

Json
historyView(const std::vector<core::Table>& tables)
{
  Json list = Json::array();
  for (std::size_t i = 0; i < tables.size(); ++i) {
    Json entry{ { "revision", tables[i].revision },
                { "rows", tables[i].rows.size() },
                { "principals", tables[i].principals.size() } };
    // The changes are known only if the previous revision is in the history.
    const bool hasPrevious =
      i + 1 < tables.size() && tables[i + 1].revision + 1 == tables[i].revision;
    if (hasPrevious) {
      entry["changes"] = core::tableDiff(tables[i + 1], tables[i]);
    }
    list.push_back(std::move(entry));
  }
  return { { "entries", std::move(list) } };
}

} // namespace lentilrack::entry
