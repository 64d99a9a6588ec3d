#pragma once

#include "core/work.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Position of one sample in a step.
struct Slot
{
  /// Index of the prompt.
  std::int64_t group = 0;
  /// Index in the group.
  std::int64_t index = 0;

  auto operator<=>(const Slot&) const = default;
};

/// A complete, scored answer with the weight versions that produced it.
struct Sample
{
  Slot slot;
  std::string text;
  std::int64_t tokens = 0;
  double score = 0;
  /// Weight versions as the engine reported them with the tokens. They cover
  /// [0, tokens).
  std::vector<Segment> segments;
};

/// Specification of a step, as sent by the trainer.
struct StepSpec
{
  std::string trainer;
  std::string name;
  std::string model;
  /// Kind of work, which selects the trainer's table row.
  std::string kind;
  /// One group per prompt.
  std::vector<std::string> prompts;
  std::int64_t groupSize = 1;
  /// Number of samples that complete a group, 1 to groupSize.
  std::int64_t quorum = 1;
  std::int64_t maxTokens = 1;

  bool operator==(const StepSpec&) const = default;
};

enum class StepErrorCode
{
  BadInput,
  /// The trainer has opened the step again since the opening to which the
  /// message belongs.
  OldOpening,
  /// The message belongs to an opening of the step that this instance has not
  /// received.
  UnknownOpening,
  /// The step is open with different prompts or sizes.
  DifferentStep,
  /// The message acknowledges a slot whose sample was never handed over.
  NeverSent,
};

struct StepError
{
  StepErrorCode errorCode = StepErrorCode::BadInput;
  std::string message;
};

} // namespace lentilrack::core
