#pragma once

#include "core/work.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// The newest weight version that is known per model. It never goes back, so
/// that a delayed report cannot make a stale sample look fresh.
class VersionTracker
{
public:
  /// Returns true if the version is newer than the known one.
  bool observe(const std::string& model, std::int64_t version);

  /// Nothing before the first observation.
  std::optional<std::int64_t> newest(const std::string& model) const;

  /// Models with their newest versions.
  const std::map<std::string, std::int64_t>& all() const { return mNewest; }

private:
  std::map<std::string, std::int64_t> mNewest;
};

/// The oldest version of the segments; nothing if there are none.
std::optional<std::int64_t>
oldestVersion(const std::vector<Segment>& segments);

/// Age in versions, counted from the oldest segment; 0 if a segment is newer
/// than `newest`. Nothing without segments.
std::optional<std::int64_t>
sampleAge(const std::vector<Segment>& segments, std::int64_t newest);

/// Appends tokens of `version`, extending the last segment if it has the same
/// version. Zero tokens change nothing.
void
appendSegment(std::vector<Segment>& segments,
              std::int64_t version,
              std::int64_t tokens);

/// Whether the segments cover [0, tokens) without a gap or an overlap.
bool
coversTokens(const std::vector<Segment>& segments, std::int64_t tokens);

} // namespace lentilrack::core
