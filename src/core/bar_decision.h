#pragma once

#include "core/work.h"

#include <optional>
#include <vector>

namespace lentilrack::core {

/// Reply of one dispatcher of a dispatch set to a bar request, which asks it to
/// promise never to start a certain request.
struct DispatcherBarReply
{
  enum class State
  {
    /// No reply, or a reply of another incarnation (run) of the dispatcher.
    None,
    Barred,
    Started,
    Finished,
  };

  State state = State::None;
  /// Outcome of the request; meaningful if `state` is Finished.
  Outcome outcome;
  /// The complete answer of a Done outcome, if the dispatcher still stores it.
  std::vector<Chunk> answer;
};

/// Returns the outcome of a request whose home, the instance that records its
/// outcome, is lost. `replies` must have one element for each dispatcher of the
/// dispatch set, which are the dispatchers that the ticket allows to run the
/// request. The verdict is NotRun only if each of them has barred the request
/// or finished it as NotRun.
Outcome
outcomeFromBarReplies(const std::vector<DispatcherBarReply>& replies);

} // namespace lentilrack::core
