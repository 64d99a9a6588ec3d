#pragma once

#include "load/order_client.h"

#include <map>
#include <string>
#include <vector>

namespace lentilrack::load {

/// Runs by prompt, as the engines' own ledgers tell.
using RunCounts = std::map<std::string, std::int64_t>;

net::Awaitable<RunCounts>
readLedgers(Context& context, std::string model);

/// Compares what a caller was told with what ran. Kept apart from the network,
/// so that a test can show that it catches each broken promise.
class LedgerCheck
{
public:
  void recordResult(const OrderSpec& spec, const OrderResult& result);
  /// Counts violations and the extra attempts into the report.
  void compare(const RunCounts& runs, Report& report) const;

private:
  struct RecordedOrder
  {
    OrderSpec spec;
    OrderResult result;
  };

  std::vector<RecordedOrder> mOrders;
};

} // namespace lentilrack::load
