#pragma once

#include "core/server_registry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lentilrack::core {

/// When a process that takes over from another may give orders to a server.
/// Between orders of two holders to one server lies a pause. The successor
/// learns from the news of its predecessor, and from the server's own count,
/// when the last order came; only where these disagree does it wait as long as
/// if the order had come at the last possible moment.
class HandoverDelay
{
public:
  struct Limits
  {
    /// Between orders of two holders to one server.
    Millis minOrderInterval{ 3'000 };
    /// How long after its end a holder may still give orders.
    Millis orderWindow{ 1'200 };
    /// What a server says of itself is up to this old.
    Millis maxReportAge{ 500 };
    /// For orders that are on their way.
    Millis transitMargin{ 300 };
  };

  explicit HandoverDelay(Limits limits)
    : mLimits(limits)
  {
  }

  /// An order of whichever holder, with the number of orders that the server
  /// has accepted since its start if it has accepted this one.
  void recordOrder(const std::string& server,
                   std::int64_t startedAt,
                   std::int64_t count,
                   TimePoint at);
  /// This process follows another holder, which may have ended only now.
  void startTakeover(TimePoint now);
  /// The server was asked for its number of accepted orders.
  void recordReport(const ServerEntry& server,
                    std::int64_t count,
                    TimePoint now);

  /// Whether an answer of the server would settle when it may be ordered.
  bool needsReport(const ServerEntry& server, TimePoint now) const;
  bool canOrder(const ServerEntry& server, TimePoint now) const;

private:
  struct Order
  {
    std::int64_t startedAt = 0;
    std::int64_t count = 0;
    TimePoint at;
  };

  bool isOver(TimePoint now) const;
  bool isEarly(TimePoint now) const;
  const Order* find(const std::map<std::string, Order>& orders,
                    const ServerEntry& server) const;

  Limits mLimits;
  std::optional<TimePoint> mTakenOverAt;
  std::map<std::string, Order> mOrders;
  /// What servers have said since the take-over.
  std::map<std::string, Order> mReports;
};

} // namespace lentilrack::core
