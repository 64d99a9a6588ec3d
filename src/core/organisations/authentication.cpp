#include "core/organisations/authentication.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace lentilrack::core {

namespace {

/// Returns the key of "Bearer KEY", or an empty text. The scheme is compared
/// without regard to case (RFC 9110).
std::string_view
bearerKey(std::string_view credentials)
{
  constexpr std::string_view kScheme = "bearer ";
  const bool hasScheme =
    credentials.size() > kScheme.size() &&
    std::ranges::equal(credentials.substr(0, kScheme.size()),
                       kScheme,
                       {},
                       [](unsigned char c) { return std::tolower(c); });
  if (!hasScheme) {
    return {};
  }
  const auto first = credentials.find_first_not_of(' ', kScheme.size());
  return first == std::string_view::npos ? std::string_view()
                                         : credentials.substr(first);
}

} // namespace

Authentication
authenticate(const OrganisationDirectory* organisations,
             const std::vector<std::string_view>& credentials,
             bool isPublic)
{
  if (organisations == nullptr) {
    return { AuthenticationOutcome::NotRequired, "" };
  }
  if (credentials.size() == 1) {
    const auto* organisation =
      organisations->findByKey(bearerKey(credentials.front()));
    if (organisation != nullptr) {
      return { AuthenticationOutcome::Identified, organisation->name };
    }
  }
  if (isPublic) {
    return { AuthenticationOutcome::Anonymous, "" };
  }
  return { credentials.empty() ? AuthenticationOutcome::MissingKey
                               : AuthenticationOutcome::InvalidKey,
           "" };
}

std::string
scopedBatchId(const std::string& organisation, const std::string& id)
{
  if (organisation.empty()) {
    return id;
  }
  constexpr std::size_t kDigestBytes = 16;
  std::array<unsigned char, kDigestBytes> digest{};
  crypto_generichash(
    digest.data(),
    digest.size(),
    reinterpret_cast<const unsigned char*>(organisation.data()),
    organisation.size(),
    nullptr,
    0);
  std::array<char, 2 * kDigestBytes + 1> text{};
  sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
  return text.data() + std::string(1, kScopeSeparator) + id;
}

} // namespace lentilrack::core
