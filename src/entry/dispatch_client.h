#pragma once

#include "core/dispatcher_choice.h"
#include "core/identity.h"
#include "core/work.h"
#include "net/cancel_signal.h"
#include "node/node.h"
#include "wire/messages.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::entry {

/// One attempt to run work at a dispatcher.
struct DispatchCall
{
  core::AttemptId attempt;
  core::Work work;
  /// Time until the deadline of the work.
  core::Millis remaining{ 0 };
  /// Dispatcher incarnations (runs of the process) that may be chosen. If
  /// empty, any live dispatcher may be chosen.
  std::vector<core::ProcessId> allowedDispatchers;
  /// Names of dispatchers that are chosen only if no other dispatcher can run
  /// the work.
  std::set<std::string> avoidedDispatchers;
  std::function<void(core::Chunk)> onChunk;
  std::shared_ptr<net::CancelSignal> cancel;
  /// Called with the chosen dispatcher before the attempt is sent.
  std::function<void(const core::ProcessId&)> onChosen;
};

struct DispatchResult
{
  core::Outcome outcome;
  /// The chosen dispatcher; empty if none was available.
  std::optional<core::ProcessId> dispatcher;
  /// False proves that the request did not reach the dispatcher.
  bool sent = false;
};

/// Chooses a dispatcher for each attempt and sends the attempt over its link.
class DispatchClient
{
public:
  explicit DispatchClient(
    node::Node& node,
    core::DispatcherChooser chooser = core::chooseDispatcher);

  /// Runs one attempt without retries and returns its outcome, which is NotRun
  /// with the reason "no_dispatcher" if no dispatcher can be used.
  net::Awaitable<DispatchResult> run(DispatchCall call);

  /// Asks one dispatcher incarnation for a bar, its promise never to start a
  /// request. Returns the reply, which tells whether the request had already
  /// started, or nothing if this incarnation did not reply within the timeout.
  net::Awaitable<std::optional<wire::BarReply>> bar(core::ProcessId dispatcher,
                                                    std::string request,
                                                    core::Millis timeout);

private:
  struct State;

  const std::vector<core::Member>& liveDispatchers();
  /// Returns the dispatcher for the call; null if none can be used. The pointer
  /// is valid until the calling coroutine suspends.
  const core::Member* selectDispatcher(const DispatchCall& call);

  node::Node& mNode;
  core::DispatcherChooser mChooser;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::entry
