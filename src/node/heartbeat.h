#pragma once

#include "core/heartbeat_schedule.h"
#include "core/membership.h"
#include "net/link.h"
#include "net/log.h"

#include <functional>
#include <pcg_random.hpp>

namespace lentilrack::node {

/// Keeps the membership current: pings other members, asks third ones before a
/// suspicion, and answers the pings of others.
class Heartbeat
{
public:
  struct Hooks
  {
    /// Brings the own entry up to date before it is sent.
    std::function<void(core::Member&)> refreshSelf;
    /// Called with every member that was heard.
    std::function<void(const core::Member&)> memberHeard;
  };

  Heartbeat(net::asio::io_context& io,
            core::Membership& members,
            net::LinkPool& links,
            net::Logger log,
            Hooks hooks);

  /// Registers the link handlers.
  void addHandlers(net::LinkServer& server);
  /// Pings until the io_context ends.
  net::Awaitable<void> run();
  /// Pings an address whose process is not known yet.
  net::Awaitable<bool> pingAddress(core::Endpoint endpoint);
  /// Pings some random members at once, to pingRandomMembers news.
  void pingRandomMembers();
  /// Pings every member that is not dead and waits for the answers.
  net::Awaitable<void> pingAll();

private:
  void round(const core::HeartbeatSchedule& pace);
  net::Awaitable<void> probe(core::Member member);
  net::Awaitable<bool> probeThrough(core::Member helper, core::Endpoint target);
  std::vector<core::Member> targets(const core::HeartbeatSchedule& pace);
  wire::Json ownPing();
  void takePing(const wire::Json& json);
  net::Awaitable<void> answerPing(std::shared_ptr<net::LinkRequest> request);
  net::Awaitable<void> answerPingRequest(
    std::shared_ptr<net::LinkRequest> request);

  net::asio::io_context& mIo;
  core::Membership& mMembers;
  net::LinkPool& mLinks;
  net::Logger mLog;
  Hooks mHooks;
  pcg32 mRandom;
  std::size_t mRounds = 0;
  /// Members still to be probed in this pass, in random order.
  std::vector<std::string> mPass;
};

} // namespace lentilrack::node
