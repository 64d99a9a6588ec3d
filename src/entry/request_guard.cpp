#include "entry/request_guard.h"

#include <algorithm>

namespace lentilrack::entry {

namespace {

CallerError
makeError(int status, std::string code, std::string message)
{
  CallerError error;
  error.status = status;
  error.code = std::move(code);
  error.message = std::move(message);
  return error;
}

} // namespace

core::Result<core::Principal, CallerError>
authenticate(node::Node& node, const net::HttpRequest& request)
{
  const auto token = request.bearerToken();
  const auto* principal =
    token.empty() ? nullptr : node.table().table().authenticate(token);
  if (principal == nullptr) {
    return makeError(401,
                     "unknown_caller",
                     "the bearer token is missing or belongs to no principal");
  }
  return *principal;
}

core::Result<VerifiedRequestId, CallerError>
verifyRequestId(const core::TicketSigner& signer,
                const std::string& text,
                const core::Principal& caller)
{
  if (text.empty()) {
    return makeError(400,
                     "missing_identifier",
                     "a request identifier \"<ticket>.<number>\" is required");
  }
  auto id = core::RequestId::parse(text);
  if (!id) {
    return makeError(400,
                     "malformed_identifier",
                     "the request identifier must be \"<ticket>.<number>\"");
  }
  auto ticket = signer.verify(id->ticket);
  if (!ticket) {
    return makeError(
      403, "foreign_ticket", "the ticket was not issued by this service");
  }
  if (ticket->caller != caller.name) {
    return makeError(
      403, "foreign_ticket", "the ticket was issued to another caller");
  }
  return VerifiedRequestId{ std::move(*id), std::move(*ticket) };
}

core::Millis
timeLimitFor(const core::Row& row, std::optional<std::int64_t> requestedMs)
{
  return requestedMs ? std::min(row.deadline, core::Millis(*requestedMs))
                     : row.deadline;
}

} // namespace lentilrack::entry
