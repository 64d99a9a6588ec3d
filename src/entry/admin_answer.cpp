#include "entry/admin_answer.h"

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
currentOf(const core::EditConflict& conflict)
{
  if (conflict.row) {
    return wire::encode(*conflict.row);
  }
  return conflict.principal ? wire::encode(*conflict.principal) : Json();
}

struct Answerer
{
  net::HttpResponse operator()(const core::EditAccepted& accepted) const
  {
    return jsonAnswer(
      { { "outcome", "accepted" }, { "revision", accepted.revision } });
  }

  net::HttpResponse operator()(const core::EditConflict& conflict) const
  {
    const bool isThere = conflict.row || conflict.principal;
    auto body = errorBody(
      "conflict",
      fmt::format("{} {} since you looked; look again and repeat the change if "
                  "it is still wanted",
                  conflict.target,
                  isThere ? "has changed" : "was removed"),
      "not_run");
    body["target"] = conflict.target;
    body["seen_version"] = conflict.seenVersion;
    body["current"] = currentOf(conflict);
    return jsonAnswer(body, net::status::kConflict);
  }

  net::HttpResponse operator()(const core::EditInvalid& invalid) const
  {
    return refusal(net::status::kBadRequest, "invalid", invalid.reason);
  }

  net::HttpResponse operator()(const core::EditUnavailable& failure) const
  {
    return refusal(net::status::kUnavailable,
                   "unavailable",
                   "the edit was not accepted: " + failure.reason +
                     ". The table in force stays");
  }

  net::HttpResponse operator()(const core::EditUnknown& failure) const
  {
    return jsonAnswer(
      errorBody(
        "unknown",
        "nobody can say yet whether the edit was accepted: " + failure.reason +
          ". Send it again with the same edit id; it is applied at "
          "most once",
        "unknown"),
      net::status::kUnavailable);
  }
};

struct Namer
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
jsonAnswer(const Json& body, int status)
{
  net::HttpResponse response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

net::HttpResponse
refusal(int status, const std::string& code, const std::string& message)
{
  return jsonAnswer(errorBody(code, message, "not_run"), status);
}

net::HttpResponse
outcomeAnswer(const core::EditOutcome& outcome)
{
  return std::visit(Answerer(), outcome);
}

std::string
outcomeName(const core::EditOutcome& outcome)
{
  return std::visit(Namer(), outcome);
}

} // namespace lentilrack::entry
