#include "core/organisations/organisation_directory.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <set>

namespace lentilrack::core {

namespace {

using Secret = std::array<unsigned char, crypto_generichash_KEYBYTES>;

const Secret&
processSecret()
{
  static const Secret kSecret = [] {
    Secret secret{};
    randombytes_buf(secret.data(), secret.size());
    return secret;
  }();
  return kSecret;
}

/// Returns true if the text can be the value of a header.
bool
isValidName(const std::string& name)
{
  constexpr unsigned char kFirstPrintable = ' ';
  constexpr unsigned char kDelete = 0x7f;
  return !name.empty() && std::ranges::all_of(name, [](unsigned char c) {
    return c >= kFirstPrintable && c != kDelete;
  });
}

} // namespace

std::size_t
OrganisationDirectory::DigestHash::operator()(const Digest& digest) const
{
  std::size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof(hash));
  return hash;
}

OrganisationDirectory::Digest
OrganisationDirectory::digestOf(std::string_view key)
{
  const auto& secret = processSecret();
  Digest digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(),
                     secret.data(),
                     secret.size());
  return digest;
}

OrganisationDirectory::OrganisationDirectory(
  const std::vector<Organisation>& organisations)
{
  std::set<Digest> sharedKeys;
  for (const auto& organisation : organisations) {
    if (!isValidName(organisation.name)) {
      ++mIgnoredEntries;
      continue;
    }
    const auto [entry, isNew] =
      mIndexByName.try_emplace(organisation.name, mOrganisations.size());
    if (isNew) {
      mOrganisations.push_back(
        { organisation.name, {}, organisation.priority });
    }
    for (const auto& key : organisation.apiKeys) {
      if (key.empty() || key.size() > kMaxKeyBytes) {
        ++mIgnoredEntries;
        continue;
      }
      const auto digest = digestOf(key);
      const auto [known, isFirst] =
        mIndexByKey.try_emplace(digest, entry->second);
      if (!isFirst && known->second != entry->second) {
        sharedKeys.insert(digest);
      }
    }
  }
  mIgnoredEntries += sharedKeys.size();
  for (const auto& digest : sharedKeys) {
    mIndexByKey.erase(digest);
  }
}

const Organisation*
OrganisationDirectory::findByKey(std::string_view key) const
{
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return nullptr;
  }
  const auto found = mIndexByKey.find(digestOf(key));
  return found == mIndexByKey.end() ? nullptr : &mOrganisations[found->second];
}

const Organisation*
OrganisationDirectory::findByName(const std::string& name) const
{
  const auto found = mIndexByName.find(name);
  return found == mIndexByName.end() ? nullptr : &mOrganisations[found->second];
}

} // namespace lentilrack::core
