#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace lentilrack::core {

/// Random number drawn when a process starts. It distinguishes the runs of
/// processes with the same name.
using Incarnation = std::uint64_t;

/// Identifies one run of a process.
struct ProcessId
{
  std::string name;
  Incarnation incarnation = 0;

  auto operator<=>(const ProcessId&) const = default;
};

/// Identifies one attempt to run a request at a dispatcher.
struct AttemptId
{
  /// Request identifier in text form: `<ticket>.<seq>`, or `idem-<random>` for
  /// idempotent work.
  std::string request;
  /// Number of the attempt among those of the request, counted from 1.
  std::uint32_t number = 0;

  auto operator<=>(const AttemptId&) const = default;

  std::string text() const { return request + "#" + std::to_string(number); }
};

} // namespace lentilrack::core
