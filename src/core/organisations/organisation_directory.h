#pragma once

#include "core/organisations/organisation.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lentilrack::core {

/// Finds the organisation that an API key identifies. Keeps only digests of the
/// keys, which are keyed with a secret of the process, so that neither a dump
/// of the memory nor the time of a lookup tells a key.
///
/// A key that is empty, longer than kMaxKeyBytes or held by two organisations
/// identifies nobody. Entries whose name cannot be the value of a header are
/// ignored.
class OrganisationDirectory
{
public:
  static constexpr std::size_t kMaxKeyBytes = 200;

  explicit OrganisationDirectory(
    const std::vector<Organisation>& organisations);

  /// Returns the organisation that holds the key, without its keys, or null.
  const Organisation* findByKey(std::string_view key) const;
  /// Returns the organisation, without its keys, or null.
  const Organisation* findByName(const std::string& name) const;
  /// Returns the number of organisations.
  std::size_t size() const { return mOrganisations.size(); }
  /// Returns the number of organisations and keys that were ignored.
  std::size_t ignoredEntries() const { return mIgnoredEntries; }

private:
  static constexpr std::size_t kDigestBytes = 16;
  using Digest = std::array<unsigned char, kDigestBytes>;
  struct DigestHash
  {
    std::size_t operator()(const Digest& digest) const;
  };
  static Digest digestOf(std::string_view key);

  /// Without the keys.
  std::vector<Organisation> mOrganisations;
  /// Index of each organisation by its name.
  std::unordered_map<std::string, std::size_t> mIndexByName;
  /// Index of the organisation of each key.
  std::unordered_map<Digest, std::size_t, DigestHash> mIndexByKey;
  std::size_t mIgnoredEntries = 0;
};

} // namespace lentilrack::core
