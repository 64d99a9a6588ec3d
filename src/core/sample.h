#pragma once

#include "core/work.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Place of one sample in a step.
struct Slot
{
  /// Index of the prompt.
  std::int64_t group = 0;
  /// Index in the group.
  std::int64_t index = 0;

  auto operator<=>(const Slot&) const = default;
};

/// A complete, scored answer and the weight versions that produced it.
struct Sample
{
  Slot slot;
  std::string text;
  std::int64_t tokens = 0;
  double score = 0;
  /// As the engine reported them with the tokens; cover [0, tokens).
  std::vector<Segment> segments;
};

/// What a trainer asks for in one step.
struct StepSpec
{
  std::string trainer;
  std::string name;
  std::string model;
  std::string kind;
  /// One group per prompt.
  std::vector<std::string> prompts;
  std::int64_t groupSize = 1;
  /// Samples that complete a group, 1 to groupSize.
  std::int64_t quorum = 1;
  std::int64_t maxTokens = 1;

  bool operator==(const StepSpec&) const = default;
};

enum class StepErrorCode
{
  BadInput,
  /// The message belongs to an opening that a newer one has replaced.
  OldOpening,
  /// The message names an opening that this home has not seen.
  UnknownOpening,
  /// The step is open with other prompts or sizes.
  DifferentStep,
  /// A slot is acknowledged whose sample was never handed over.
  NeverSent,
};

struct StepError
{
  StepErrorCode errorCode = StepErrorCode::BadInput;
  std::string message;
};

} // namespace lentilrack::core
