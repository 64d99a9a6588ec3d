#pragma once

#include "core/work.h"

#include <optional>
#include <vector>

namespace lentilrack::core {

/// What one dispatcher of a dispatch set said when it was asked to bar a
/// request.
struct DispatcherBarReply
{
  enum class State
  {
    /// No answer, or another incarnation answered.
    None,
    Barred,
    Started,
    Finished,
  };

  State state = State::None;
  /// Meaningful if Finished.
  Outcome outcome;
  /// The whole answer of a Done outcome, if the dispatcher still has it.
  std::vector<Chunk> answer;
};

/// The verdict on a request whose home is lost, from the answers of its whole
/// dispatch set. NotRun only if every dispatcher that could ever run it barred
/// it or finished it as not run.
Outcome
outcomeFromBarReplies(const std::vector<DispatcherBarReply>& answers);

} // namespace lentilrack::core
