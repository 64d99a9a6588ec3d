#include "entry/admin_response.h"

#include "net/http_status.h"
#include "wire/table_codec.h"

#include <fmt/format.h>

namespace lentilrack::entry {

namespace {

using wire::Json;

Json
errorBody(const std::string& code,
          const std::string& message,
          const char* verdict)
{
  return { { "error", code },
           { "message", message },
           { "verdict", verdict },
           { "reason", code } };
}

Json
encodeCurrent(const core::EditConflict& conflict)
{
  if (conflict.row) {
    return wire::encode(*conflict.row);
  }
  return conflict.principal ? wire::encode(*conflict.principal) : Json();
}

struct OutcomeResponse
{
  net::HttpResponse operator()(const core::EditAccepted& accepted) const
  {
    return jsonResponse(
      { { "outcome", "accepted" }, { "revision", accepted.revision } });
  }

  net::HttpResponse operator()(const core::EditConflict& conflict) const
  {
    const bool stillExists = conflict.row || conflict.principal;
    auto body = errorBody(
      "conflict",
      fmt::format("{} {} since you read it; read it again and repeat the "
                  "change if it is still wanted",
                  conflict.target,
                  stillExists ? "has changed" : "was removed"),
      "not_run");
    body["target"] = conflict.target;
    body["seen_version"] = conflict.seenVersion;
    body["current"] = encodeCurrent(conflict);
    return jsonResponse(body, net::status::kConflict);
  }

  net::HttpResponse operator()(const core::EditInvalid& invalid) const
  {
    return errorResponse(net::status::kBadRequest, "invalid", invalid.reason);
  }

  net::HttpResponse operator()(const core::EditUnavailable& failure) const
  {
    return errorResponse(net::status::kUnavailable,
                         "unavailable",
                         "the edit was not accepted: " + failure.reason +
                           ". The table in force stays");
  }

  net::HttpResponse operator()(const core::EditUnknown& failure) const
  {
    return jsonResponse(
      errorBody(
        "unknown",
        "it is not known yet whether the edit was accepted: " + failure.reason +
          ". Send it again with the same edit id; it is applied at "
          "most once",
        "unknown"),
      net::status::kUnavailable);
  }
};

struct OutcomeName
{
  const char* operator()(const core::EditAccepted&) const { return "accepted"; }
  const char* operator()(const core::EditConflict&) const { return "conflict"; }
  const char* operator()(const core::EditInvalid&) const { return "invalid"; }
  const char* operator()(const core::EditUnavailable&) const
  {
    return "unavailable";
  }
  const char* operator()(const core::EditUnknown&) const { return "unknown"; }
};

} // namespace

net::HttpResponse
jsonResponse(const Json& body, int status)
{
  net::HttpResponse response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

net::HttpResponse
errorResponse(int status, const std::string& code, const std::string& message)
{
  return jsonResponse(errorBody(code, message, "not_run"), status);
}

net::HttpResponse
outcomeResponse(const core::EditOutcome& outcome)
{
  return std::visit(OutcomeResponse(), outcome);
}

std::string
outcomeName(const core::EditOutcome& outcome)
{
  return std::visit(OutcomeName(), outcome);
}

} // namespace lentilrack::entry
