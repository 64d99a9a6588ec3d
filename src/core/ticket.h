#pragma once

#include "core/identity.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// Longest time for which a ticket can be used.
constexpr Millis kTicketLifetime{ 15 * 60 * 1000 };
/// How much longer records of its requests are kept.
constexpr Millis kTicketGrace{ 5 * 60 * 1000 };
/// Largest number of dispatchers that a ticket names.
constexpr std::size_t kMaxDispatchSetSize = 8;

/// Says which process incarnation is the home of a caller's requests and which
/// dispatcher incarnations may ever run them.
struct Ticket
{
  ProcessId home;
  /// Name of the principal that the ticket was issued to.
  std::string caller;
  /// Keeps tickets of the same home and caller apart.
  std::uint64_t nonce = 0;
  /// End of validity on the home's monotonic clock, counted from its start.
  /// Only the home compares it with a clock.
  Millis expiry{ 0 };
  std::vector<ProcessId> dispatchers;

  bool operator==(const Ticket&) const = default;
};

/// Seals tickets with a MAC under the link secret, and verifies them.
class TicketSigner
{
public:
  explicit TicketSigner(std::string_view secret);

  /// Base64url text without padding.
  std::string sign(const Ticket& ticket) const;
  /// Nothing if the text was not sealed under this secret.
  std::optional<Ticket> verify(std::string_view text) const;

private:
  std::string mac(std::string_view bytes) const;

  std::string mKey;
};

/// Identifier of a caller's request, written `<ticket>.<seq>`. There is only
/// one way to write each identifier, so the text can serve as a key.
struct RequestId
{
  std::string ticket;
  std::uint64_t sequence = 0;

  auto operator<=>(const RequestId&) const = default;

  std::string text() const;
  static std::optional<RequestId> parse(std::string_view text);
};

} // namespace lentilrack::core
