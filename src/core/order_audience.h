#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Chooses the processes to which the leader reports an order to a server. The
/// number of recipients does not depend on the number of processes: a report of
/// each order to every process would cost the leader orders times processes
/// messages for each version of the weights.
class OrderAudience
{
public:
  /// Number of processes that are told in order to become the next leader. A
  /// new leader that was not told must wait longer before its first order, but
  /// gives no order too early.
  static constexpr std::size_t kSuccessors = 3;

  /// `self` is the instance of the leader, `leaderKey` the name under which the
  /// takeover order of the leadership is computed.
  OrderAudience(std::string self, std::string leaderKey);

  /// Returns the recipients among the present `members`: the processes that run
  /// batches of the model (`batchOwners`, which may contain duplicates) and the
  /// first processes in the takeover order of the leadership.
  std::vector<std::string> recipients(
    const std::vector<std::string>& members,
    std::vector<std::string> batchOwners) const;

private:
  std::string mSelf;
  std::string mLeaderKey;
};

} // namespace lentilrack::core
