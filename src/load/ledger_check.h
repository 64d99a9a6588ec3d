#pragma once

#include "load/order_client.h"

#include <map>
#include <string>
#include <vector>

namespace lentilrack::load {

/// Number of times that the engines ran each prompt, according to their
/// ledgers, which list all runs.
using RunCounts = std::map<std::string, std::int64_t>;

/// Counts the runs in the ledgers of the engines that serve the model. Leaves
/// out an engine whose answer is not a JSON object.
net::Awaitable<RunCounts>
readLedgers(Context& context, std::string model);

/// Compares the answers that callers got with the runs at the engines. Does no
/// I/O, so that unit tests can verify that it detects each violation.
class LedgerCheck
{
public:
  /// Records the result that a caller got for an order.
  void recordResult(const OrderSpec& spec, const OrderResult& result);
  /// Adds a violation to the report for each verdict that contradicts the runs,
  /// each repeated run of a non-idempotent order and each wrong answer. Sets
  /// the ratio of extra attempts.
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
