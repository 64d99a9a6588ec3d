#include "entry/request_guard.h"

#include <algorithm>

namespace lentilrack::entry {

namespace {

CallerError
denied(int status, std::string code, std::string message)
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
    return denied(401,
                  "unknown_caller",
                  "the bearer token is missing or belongs to no principal");
  }
  return *principal;
}

core::Result<AdmittedId, CallerError>
admitIdentifier(const core::TicketSigner& sealer,
                const std::string& text,
                const core::Principal& caller)
{
  if (text.empty()) {
    return denied(400,
                  "missing_identifier",
                  "a request identifier \"<ticket>.<number>\" is required");
  }
  auto id = core::RequestId::parse(text);
  if (!id) {
    return denied(400,
                  "malformed_identifier",
                  "the request identifier must be \"<ticket>.<number>\"");
  }
  auto ticket = sealer.verify(id->ticket);
  if (!ticket) {
    return denied(
      403, "foreign_ticket", "the ticket was not issued by this service");
  }
  if (ticket->caller != caller.name) {
    return denied(
      403, "foreign_ticket", "the ticket was issued to another caller");
  }
  return AdmittedId{ std::move(*id), std::move(*ticket) };
}

core::Millis
deadlineFor(const core::Row& row, std::optional<std::int64_t> askedMs)
{
  return askedMs ? std::min(row.deadline, core::Millis(*askedMs))
                 : row.deadline;
}

} // namespace lentilrack::entry
