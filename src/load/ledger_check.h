#pragma once

#include "load/order_client.h"

#include <map>
#include <string>
#include <vector>

namespace lentilrack::load {

/// Number of runs by prompt, according to the ledgers of the engines.
using RunCounts = std::map<std::string, std::int64_t>;

/// Reads the ledgers of all engines of the model.
net::Awaitable<RunCounts>
readLedgers(Context& context, std::string model);

/// Compares the answers that callers got with the runs at the engines. Does no
/// I/O, so that unit tests can verify that it detects each violation.
class LedgerCheck
{
public:
  /// Records the result that a caller got for an order.
  void recordResult(const OrderSpec& spec, const OrderResult& result);
  /// Adds the violations and the ratio of extra attempts to the report.
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
