#pragma once

#include "core/organisations/organisation_directory.h"

#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// Whether a request may be served, as far as its API key decides that.
enum class AuthenticationOutcome
{
  /// The deployment has no organisations, so requests need no key.
  NotRequired,
  /// The key identifies the organisation.
  Identified,
  /// The request has no valid key, and its route is public.
  Anonymous,
  /// The request has no Authorization header.
  MissingKey,
  /// The header is repeated, is not of the form "Bearer KEY", or its key
  /// identifies no organisation.
  InvalidKey,
};

struct Authentication
{
  AuthenticationOutcome outcome = AuthenticationOutcome::NotRequired;
  /// Name of the organisation; empty unless the outcome is Identified.
  std::string organisation;

  bool isAllowed() const
  {
    return outcome != AuthenticationOutcome::MissingKey &&
           outcome != AuthenticationOutcome::InvalidKey;
  }
};

/// Decides on a request with these values of the Authorization header.
/// `organisations` is null if the deployment has none.
Authentication
authenticate(const OrganisationDirectory* organisations,
             const std::vector<std::string_view>& credentials,
             bool isPublic);

/// Separates the digest of the organisation from the id in a scoped id. Callers
/// cannot use it in the id of a batch.
inline constexpr char kScopeSeparator = '~';

/// Returns the id under which a batch of the organisation is stored, so that
/// equal ids of two organisations are two batches. Returns the id itself if
/// there is no organisation.
std::string
scopedBatchId(const std::string& organisation, const std::string& id);

} // namespace lentilrack::core
