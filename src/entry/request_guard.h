#pragma once

#include "core/table.h"
#include "core/ticket.h"
#include "entry/caller_error.h"
#include "net/http_server.h"
#include "node/node.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lentilrack::entry {

/// Returns the principal that the request's bearer token belongs to. Error: 401
/// if the token is missing or unknown.
core::Result<core::Principal, CallerError>
authenticate(node::Node& node, const net::HttpRequest& request);

/// A request identifier whose ticket is valid and was issued to the caller.
struct VerifiedRequestId
{
  core::RequestId id;
  core::Ticket ticket;
};

/// Parses a request identifier and verifies that its ticket was issued to the
/// caller. Errors: "missing_identifier", "malformed_identifier",
/// "foreign_ticket".
core::Result<VerifiedRequestId, CallerError>
verifyRequestId(const core::TicketSigner& signer,
                const std::string& text,
                const core::Principal& caller);

/// Returns the time limit of the work: the deadline of its row, or
/// `requestedMs`, the limit that the caller requested, if that is shorter.
core::Millis
timeLimitFor(const core::Row& row, std::optional<std::int64_t> requestedMs);

} // namespace lentilrack::entry
