#pragma once

#include "core/heartbeat_schedule.h"
#include "core/membership.h"
#include "net/link.h"
#include "net/log.h"

#include <functional>
#include <pcg_random.hpp>

namespace lentilrack::node {

/// Keeps the membership up to date. Pings other members and replies to their
/// pings. If a member does not reply, asks other members to ping it before it
/// becomes suspect.
class Heartbeat
{
public:
  struct Hooks
  {
    /// Updates this process's own member record before it is sent.
    std::function<void(core::Member&)> refreshSelf;
    /// Called with the sender of every received heartbeat.
    std::function<void(const core::Member&)> onMemberHeard;
  };

  Heartbeat(net::asio::io_context& io,
            core::Membership& members,
            net::LinkPool& links,
            net::Logger log,
            Hooks hooks);

  /// Registers the handlers of pings and ping requests.
  void addHandlers(net::LinkServer& server);
  /// Runs heartbeat rounds, each of which pings a few members, until the
  /// io_context stops.
  net::Awaitable<void> run();
  /// Pings an address. Returns true if a process replied. That process need not
  /// be a known member yet.
  net::Awaitable<bool> pingAddress(core::Endpoint endpoint);
  /// Pings some random members immediately, to propagate a change.
  void pingRandomMembers();
  /// Pings every member that is not dead and waits for the ping time-out.
  net::Awaitable<void> pingAll();

private:
  void runRound(const core::HeartbeatSchedule& schedule);
  net::Awaitable<void> probe(core::Member member);
  net::Awaitable<bool> probeVia(core::Member helper, core::Endpoint target);
  std::vector<core::Member> chooseTargets(
    const core::HeartbeatSchedule& schedule);
  wire::Json makePing();
  void applyPing(const wire::Json& json);
  net::Awaitable<void> handlePing(std::shared_ptr<net::LinkRequest> request);
  net::Awaitable<void> handlePingRequest(
    std::shared_ptr<net::LinkRequest> request);

  net::asio::io_context& mIo;
  core::Membership& mMembers;
  net::LinkPool& mLinks;
  net::Logger mLog;
  Hooks mHooks;
  pcg32 mRandom;
  std::size_t mRounds = 0;
  /// Names of the members that have not been pinged yet in the current pass, in
  /// random order. When the queue is empty, all other members are added again.
  std::vector<std::string> mProbeQueue;
};

} // namespace lentilrack::node
