#include "core/reader_choice.h"

#include <xxhash.h>

#include <algorithm>

namespace lentilrack::core {

namespace {

std::uint64_t
hashOf(const std::string& text)
{
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

void
ReaderChoice::setMembers(std::vector<std::string> members)
{
  // The order by hash is the same in every process, and the first names in it
  // change little when a process joins or leaves.
  std::ranges::sort(members, {}, [](const auto& name) {
    return std::pair(hashOf(name), name);
  });
  const auto wanted =
    std::max(kMinReaders,
             (members.size() + kProcessesPerReader - 1) / kProcessesPerReader);
  members.resize(std::min(members.size(), wanted));
  mReaders = std::move(members);
}

bool
ReaderChoice::isReader() const
{
  return std::ranges::find(mReaders, mSelf) != mReaders.end();
}

std::optional<std::string>
ReaderChoice::source(TimePoint now) const
{
  if (isReader()) {
    return std::nullopt;
  }
  std::vector<std::string> usable;
  std::ranges::copy_if(
    mReaders, std::back_inserter(usable), [&](const auto& reader) {
      const auto avoided = mAvoidUntil.find(reader);
      return avoided == mAvoidUntil.end() || now >= avoided->second;
    });
  if (usable.empty()) {
    return std::nullopt;
  }
  return *std::ranges::max_element(usable, {}, [&](const auto& reader) {
    return hashOf(mSelf + "|" + reader);
  });
}

} // namespace lentilrack::core
