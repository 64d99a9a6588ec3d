#include "core/reader_choice.h"

#include <xxhash.h>

#include <algorithm>

namespace lentilrack::core {

namespace {

std::uint64_t
weightOf(const std::string& text)
{
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

void
ReaderChoice::setMembers(std::vector<std::string> members)
{
  // The order does not depend on who asks, and changes little when a process
  // comes or goes.
  std::ranges::sort(members, {}, [](const auto& name) {
    return std::pair(weightOf(name), name);
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
  std::vector<std::string> working;
  std::ranges::copy_if(
    mReaders, std::back_inserter(working), [&](const auto& reader) {
      const auto avoided = mAvoidUntil.find(reader);
      return avoided == mAvoidUntil.end() || now >= avoided->second;
    });
  if (working.empty()) {
    return std::nullopt;
  }
  return *std::ranges::max_element(working, {}, [&](const auto& reader) {
    return weightOf(mSelf + "|" + reader);
  });
}

} // namespace lentilrack::core
