#include "core/version_tracker.h"

#include <algorithm>

namespace lentilrack::core {

bool
VersionTracker::observe(const std::string& model, std::int64_t version)
{
  const auto [entry, added] = mNewest.try_emplace(model, version);
  if (added) {
    return true;
  }
  if (version <= entry->second) {
    return false;
  }
  entry->second = version;
  return true;
}

std::optional<std::int64_t>
VersionTracker::newest(const std::string& model) const
{
  const auto entry = mNewest.find(model);
  return entry == mNewest.end() ? std::nullopt : std::optional(entry->second);
}

std::optional<std::int64_t>
oldestVersion(const std::vector<Segment>& segments)
{
  const auto oldest = std::ranges::min_element(segments, {}, &Segment::version);
  return oldest == segments.end() ? std::nullopt
                                  : std::optional(oldest->version);
}

std::optional<std::int64_t>
sampleAge(const std::vector<Segment>& segments, std::int64_t newest)
{
  const auto oldest = oldestVersion(segments);
  if (!oldest) {
    return std::nullopt;
  }
  return std::max<std::int64_t>(0, newest - *oldest);
}

void
appendSegment(std::vector<Segment>& segments,
              std::int64_t version,
              std::int64_t tokens)
{
  if (tokens <= 0) {
    return;
  }
  if (!segments.empty() && segments.back().version == version) {
    segments.back().to += tokens;
    return;
  }
  const auto from = segments.empty() ? 0 : segments.back().to;
  segments.push_back({ version, from, from + tokens });
}

bool
coversTokens(const std::vector<Segment>& segments, std::int64_t tokens)
{
  std::int64_t next = 0;
  for (const auto& segment : segments) {
    if (segment.from != next || segment.to <= segment.from) {
      return false;
    }
    next = segment.to;
  }
  return next == tokens;
}

} // namespace lentilrack::core
