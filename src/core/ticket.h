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

/// Longest validity of a ticket.
constexpr Millis kTicketLifetime{ 15 * 60 * 1000 };
/// How long records of a ticket's requests are kept after the ticket has
/// expired.
constexpr Millis kTicketGrace{ 5 * 60 * 1000 };
/// Largest number of dispatchers in a ticket.
constexpr std::size_t kMaxDispatchSetSize = 8;

/// Names the home of a caller's requests, which records their outcomes, and the
/// dispatchers that may run them (the dispatch set). Each is named with its
/// incarnation, so that a restarted process does not count as the same one.
struct Ticket
{
  ProcessId home;
  /// Name of the principal that the ticket was issued to.
  std::string caller;
  /// Distinguishes tickets of the same home and caller.
  std::uint64_t nonce = 0;
  /// Time of expiry, in milliseconds since the home process started, on its
  /// monotonic clock. Only the home evaluates it.
  Millis expiry{ 0 };
  std::vector<ProcessId> dispatchers;

  bool operator==(const Ticket&) const = default;
};

/// Signs tickets with a MAC keyed with the link secret, and verifies them.
class TicketSigner
{
public:
  explicit TicketSigner(std::string_view secret);

  /// Returns the ticket and its MAC as base64url text without padding.
  std::string sign(const Ticket& ticket) const;
  /// Returns the ticket, or nothing if the text was not signed with this
  /// secret.
  std::optional<Ticket> verify(std::string_view text) const;

private:
  std::string mac(std::string_view bytes) const;

  std::string mKey;
};

/// Identifier of a caller's request, with the text form `<ticket>.<seq>`. Each
/// identifier has exactly one text form, so the text can be used as a key.
struct RequestId
{
  std::string ticket;
  std::uint64_t sequence = 0;

  auto operator<=>(const RequestId&) const = default;

  /// Returns `<ticket>.<seq>`.
  std::string text() const;
  /// Parses `<ticket>.<seq>`. Returns nothing for any other text, and for a
  /// sequence number with leading zeros.
  static std::optional<RequestId> parse(std::string_view text);
};

} // namespace lentilrack::core
