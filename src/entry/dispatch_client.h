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

/// One attempt to run work at some dispatcher.
struct DispatchCall
{
  core::AttemptId attempt;
  core::Work work;
  core::Millis remaining{ 0 };
  /// The only dispatcher runs that may get it; empty for any live one.
  std::vector<core::ProcessId> allowed;
  /// Names of dispatchers to avoid if another one is left.
  std::set<std::string> avoid;
  std::function<void(core::Chunk)> onChunk;
  std::shared_ptr<net::CancelSignal> cancel;
  /// Told which dispatcher was chosen, before anything is sent.
  std::function<void(const core::ProcessId&)> onChosen;
};

struct DispatchResult
{
  core::Outcome outcome;
  /// The dispatcher that was chosen; nothing if none was available.
  std::optional<core::ProcessId> dispatcher;
  /// Whether the request may have reached it. False proves it did not.
  bool sent = false;
};

/// Chooses a dispatcher for each attempt and talks to it over its link.
class DispatchClient
{
public:
  explicit DispatchClient(
    node::Node& node,
    core::DispatcherChooser chooser = core::chooseDispatcher);

  /// Runs one attempt; never retries. Without a usable dispatcher the outcome
  /// is NotRun "no_dispatcher".
  net::Awaitable<DispatchResult> run(DispatchCall call);

  /// Bars a request at one dispatcher run. Nothing if that run did not answer.
  net::Awaitable<std::optional<wire::BarReply>> bar(core::ProcessId dispatcher,
                                                    std::string request,
                                                    core::Millis timeout);

private:
  struct State;

  const std::vector<core::Member>& liveDispatchers();
  /// Valid until the next suspension of the caller.
  const core::Member* selectDispatcher(const DispatchCall& call);

  node::Node& mNode;
  core::DispatcherChooser mChooser;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::entry
