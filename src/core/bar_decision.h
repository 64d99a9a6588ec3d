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
    /// No reply, or a reply of another incarnation.
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

/// Returns the outcome of a request whose home is lost, given the replies of
/// all dispatchers of its dispatch set. The verdict is NotRun only if each of
/// these dispatchers has barred the request or finished it as NotRun.
Outcome
outcomeFromBarReplies(const std::vector<DispatcherBarReply>& replies);

} // namespace lentilrack::core
