#pragma once

#include "core/work.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Tracks the newest known weight version of each model. The known version
/// never decreases, so that a delayed report cannot make a stale sample look
/// fresh.
class VersionTracker
{
public:
  /// Records an observed version. Returns true if it is newer than the known
  /// one.
  bool observe(const std::string& model, std::int64_t version);

  /// Returns the newest version of a model; nothing before the first
  /// observation.
  std::optional<std::int64_t> newest(const std::string& model) const;

  /// Returns the newest version by model.
  const std::map<std::string, std::int64_t>& all() const { return mNewest; }

private:
  /// The newest known version of each model.
  std::map<std::string, std::int64_t> mNewest;
};

/// Returns the oldest version among the segments; nothing if there are none.
std::optional<std::int64_t>
oldestVersion(const std::vector<Segment>& segments);

/// Returns the age of a sample as the number of versions from its oldest
/// segment to `newest`; 0 if all segments are newer. Returns nothing without
/// segments.
std::optional<std::int64_t>
sampleAge(const std::vector<Segment>& segments, std::int64_t newest);

/// Appends tokens that were generated with `version`. Extends the last segment
/// if it has the same version. Does nothing for zero tokens.
void
appendSegment(std::vector<Segment>& segments,
              std::int64_t version,
              std::int64_t tokens);

/// Whether the segments cover [0, tokens) without a gap or an overlap.
bool
coversTokens(const std::vector<Segment>& segments, std::int64_t tokens);

} // namespace lentilrack::core
