#include "core/table_replica.h"

#include "core/table_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

Table
tableWithRevision(std::int64_t revision)
{
  auto table = testing::smallTable();
  table.revision = revision;
  return table;
}

} // namespace

// Guards against reverting an accepted edit when an old table arrives late.
RC_GTEST_PROP(TableReplicaProperty, RevisionNeverDecreases, ())
{
  TableReplica replica;
  std::vector<std::int64_t> seen;
  replica.addChangeListener(
    [&](const Table& table) { seen.push_back(table.revision); });
  const auto revisions =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20));
  std::int64_t highest = 0;
  for (const auto revision : revisions) {
    const bool isNewer = revision > highest;
    RC_ASSERT(replica.applyIfNewer(tableWithRevision(revision)) == isNewer);
    highest = std::max<std::int64_t>(highest, revision);
    RC_ASSERT(replica.revision() == highest);
  }
  RC_ASSERT(std::is_sorted(seen.begin(), seen.end()));
  const bool endsHighest = seen.empty() || seen.back() == highest;
  RC_ASSERT(endsHighest);
}

// Guards against handling one request partly under an old and partly under a
// new table, when a new table arrives meanwhile.
TEST(TableReplicaTest, SnapshotIsNotChangedByTheNextTable)
{
  TableReplica replica;
  replica.applyIfNewer(tableWithRevision(1));
  const auto snapshot = replica.snapshot();
  replica.applyIfNewer(tableWithRevision(2));
  EXPECT_EQ(snapshot->revision, 1);
  EXPECT_EQ(replica.revision(), 2);
}

} // namespace lentilrack::core
