#include "core/table_replica.h"

namespace lentilrack::core {

bool
TableReplica::applyIfNewer(Table table)
{
  if (table.revision <= mTable->revision) {
    return false;
  }
  mTable = std::make_shared<const Table>(std::move(table));
  for (const auto& listener : mListeners) {
    listener(*mTable);
  }
  return true;
}

} // namespace lentilrack::core
