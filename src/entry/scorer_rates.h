#pragma once

#include "core/request_rate.h"
#include "node/node.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::entry {

/// Keeps the calls of all entry processes to a scorer within the request rate
/// that the scorer states. One entry process, the first in takeover order among
/// the live ones, grants the permits of a scorer to all; see
/// core::RateAllocator.
class ScorerRates : public std::enable_shared_from_this<ScorerRates>
{
public:
  explicit ScorerRates(node::Node& node);

  /// Registers the handler of other processes' requests for permits. Must be
  /// called before the link server listens.
  void addHandler();

  /// Records the request rate that a response of the scorer states, or that it
  /// states none.
  void recordStatedRate(const core::Endpoint& scorer,
                        std::optional<double> rate);
  /// Returns the scorers that have stated no rate lately or, if there are none,
  /// all of them.
  std::vector<core::Endpoint> preferred(
    std::vector<core::Endpoint> scorers) const;
  /// Takes a permit for one call. Returns zero if the call may be sent now,
  /// otherwise the time after which to try again.
  net::Awaitable<core::Millis> takePermit(core::Endpoint scorer);

private:
  /// Request of another process for a permit.
  struct Question
  {
    std::string scorer;
    double perSecond = 0;
    std::string instance;
  };
  /// What the responses of a scorer that states a rate have told.
  struct Scorer
  {
    double perSecond = 0;
    core::TimePoint statedAt{};
    /// When this process may ask for the next permit.
    core::TimePoint nextPermitAt{};
  };

  static wire::Decoded<Question> decodeQuestion(const wire::Json& json);
  static wire::Decoded<core::PermitDecision> decodeDecision(
    const wire::Json& json);

  /// Returns the name of the process that grants the permits of a scorer.
  std::string allocatorOf(const std::string& scorer) const;
  /// Decides as the allocator. Returns nothing if this process is not it.
  std::optional<core::PermitDecision> decide(const Question& question);
  net::Awaitable<std::optional<core::PermitDecision>> askAllocator(
    std::string allocator,
    Question question);
  net::Awaitable<void> answer(std::shared_ptr<net::LinkRequest> request);

  node::Node& mNode;
  core::RateAllocator mAllocator;
  /// The scorers that state a rate, by address.
  std::map<core::Endpoint, Scorer> mScorers;
};

} // namespace lentilrack::entry
