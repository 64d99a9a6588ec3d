#pragma once

#include "core/server_registry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lentilrack::core {

/// One process, the holder, gives orders to the servers. When another process
/// becomes the holder, this class decides from when on it may give each server
/// an order, because a minimum interval must lie between the orders of two
/// holders to the same server. The former holder has announced the time and
/// count of each order. If the count equals the server's own count of accepted
/// orders, the new holder waits for the interval after the announced time.
/// Otherwise it waits as if the last order had come at the latest possible
/// moment.
class HandoverDelay
{
public:
  struct Limits
  {
    /// Minimum interval between the orders of two holders to one server.
    Millis minOrderInterval{ 3'000 };
    /// How long after losing its role a holder may still give orders.
    Millis orderWindow{ 1'200 };
    /// Maximum age of the order count that a server reports.
    Millis maxReportAge{ 500 };
    /// Allowance for orders that are in transit.
    Millis transitMargin{ 300 };
  };

  explicit HandoverDelay(Limits limits)
    : mLimits(limits)
  {
  }

  /// Records an order by any holder to a server that started at `startedAt`
  /// (Unix milliseconds). `count` is the number of orders that the server will
  /// have accepted since its start once it has accepted this order.
  void recordOrder(const std::string& server,
                   std::int64_t startedAt,
                   std::int64_t count,
                   TimePoint at);
  /// Records that this process has taken over from another holder, which may
  /// have lost its role only now.
  void startTakeover(TimePoint now);
  /// Records the number of accepted orders that the server reports. Ignored
  /// while the report could predate the former holder's last order.
  void recordReport(const ServerEntry& server,
                    std::int64_t count,
                    TimePoint now);

  /// Whether canOrder() needs the server's order count and a report received
  /// now would be recent enough.
  bool needsReport(const ServerEntry& server, TimePoint now) const;
  /// Whether this process may give the server an order now.
  bool canOrder(const ServerEntry& server, TimePoint now) const;

  /// Whether there was no takeover, or even the latest possible order of the
  /// former holder is long enough ago.
  bool isHandoverOver(TimePoint now) const;

private:
  struct Order
  {
    std::int64_t startedAt = 0;
    std::int64_t count = 0;
    TimePoint at;
  };

  /// Whether a report received now could predate the former holder's last
  /// order.
  bool isReportTooEarly(TimePoint now) const;
  const Order* find(const std::map<std::string, Order>& orders,
                    const ServerEntry& server) const;

  Limits mLimits;
  std::optional<TimePoint> mTakenOverAt;
  /// The last known order to each server, by server id.
  std::map<std::string, Order> mOrders;
  /// Order counts that the servers have reported since the takeover, by server
  /// id.
  std::map<std::string, Order> mReports;
};

} // namespace lentilrack::core
