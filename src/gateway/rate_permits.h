#pragma once

#include "core/request_rate.h"
#include "gateway/cluster_view.h"
#include "gateway/peer_client.h"

#include <map>
#include <string>

namespace lentilrack::gateway {

/// Obtains the permits for requests to servers that state a request rate. For
/// each server one instance, the allocator, grants the permits of all
/// instances; see core::RateAllocator. Every instance computes the same
/// allocator from the list of the present instances. An allocator whose
/// registration may have expired grants permits only while other instances
/// confirm that it still is the allocator.
class RatePermits
{
public:
  RatePermits(Context& context, ClusterView& cluster, PeerClient& peers);

  /// Asks the allocator for a permit for one request. Returns false if there is
  /// none.
  net::Awaitable<bool> acquire(core::ServerEntry server,
                               core::PermitPriority priority);

  /// Answers a peer that asks for a permit.
  net::Awaitable<net::HttpResponse> answerQuestion(
    const net::HttpRequest& request);
  /// Applies what a peer has learned of a server's request rate.
  void applyPeerRate(const std::string& body);
  /// Tells a peer which instance this process takes for the allocator.
  net::HttpResponse nameAllocator(const std::string& server);

private:
  enum class Outcome
  {
    Granted,
    Refused,
    /// The server no longer states a rate.
    NotLimited,
    /// The instance that was asked is not the allocator.
    NotAllocator,
  };
  struct Question
  {
    std::string server;
    std::int64_t startedAt = 0;
    std::string instance;
    core::PermitPriority priority = core::PermitPriority::Interactive;
    /// What the instance knows of the server's rate.
    std::optional<double> rate;
    core::TimePoint rateStatedAt{};
  };
  struct Answer
  {
    Outcome outcome = Outcome::Refused;
    core::PermitDecision decision;
    /// When the rate was last stated or not, if the outcome is NotLimited.
    core::TimePoint rateStatedAt{};
  };

  /// Returns what this process knows of the server, as a question for a permit.
  std::optional<Question> questionFor(const core::ServerEntry& server,
                                      core::PermitPriority priority);
  static std::string encode(const Question& question);
  static std::optional<Question> decodeQuestion(const std::string& body);
  static std::string encode(const Answer& answer);
  static std::optional<Answer> decodeAnswer(const std::string& body);

  /// Decides as the allocator.
  net::Awaitable<Answer> answer(Question question);
  net::Awaitable<Answer> askPeer(std::string allocator, Question question);
  /// Returns true if this process is the allocator of the server's rate and no
  /// other instance can have become it.
  net::Awaitable<bool> isAllocator(std::string server);
  /// Asks the next instances in the order of takeover whether this process
  /// still is the allocator. Returns true if most of them confirm it, or if no
  /// other instance is known.
  net::Awaitable<bool> isConfirmed(std::string server);
  /// Reports a change of a server's rate to the allocator.
  void reportRate(const core::ServerEntry& server);

  Context& mContext;
  ClusterView& mCluster;
  PeerClient& mPeers;
  core::RateAllocator mAllocator;
  /// Time since boot until which a confirmation holds, by server id.
  std::map<std::string, core::Millis> mConfirmedUntil;
};

} // namespace lentilrack::gateway
