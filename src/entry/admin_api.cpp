#include "entry/admin_api.h"

#include "backends/error.h"
#include "core/decimal.h"
#include "core/table_csv.h"
#include "entry/admin_response.h"
#include "entry/admin_views.h"
#include "net/http_status.h"
#include "wire/table_codec.h"

#include <optional>

namespace lentilrack::entry {

namespace {

/// Parses a revision from a query parameter. Empty if it is not an integer of
/// at least 1.
std::optional<std::int64_t>
parseRevision(const std::string& text)
{
  const auto revision = core::parseDecimal<std::int64_t>(text);
  return revision && *revision >= 1 ? revision : std::nullopt;
}

net::HttpResponse
invalidRevision(const std::string& text)
{
  return errorResponse(net::status::kBadRequest,
                       "bad_parameter",
                       "revision must be an integer of at least 1, not \"" +
                         text + "\"");
}

net::HttpResponse
historyUnavailable(std::error_code error)
{
  return errorResponse(net::status::kUnavailable,
                       "unavailable",
                       "the history cannot be read: " + error.message());
}

} // namespace

AdminApi::AdminApi(AdminDependencies dependencies)
  : mDependencies(std::move(dependencies))
  , mEditor(mDependencies.io,
            mDependencies.kv,
            mDependencies.table,
            mDependencies.log,
            mDependencies.self.incarnation)
{
}

void
AdminApi::addRoutes(net::HttpRouter& router)
{
  add(router, "GET", "/admin/table", &AdminApi::showTable);
  add(router, "GET", "/admin/status", &AdminApi::showStatus);
  add(router, "GET", "/admin/members", &AdminApi::showMembers);
  add(router, "GET", "/admin/force", &AdminApi::showInForce);
  add(router, "GET", "/admin/history", &AdminApi::showHistory);
  add(router, "GET", "/admin/export", &AdminApi::exportRows);
  add(router, "POST", "/admin/edits", &AdminApi::postEdit);
  add(router, "POST", "/admin/import", &AdminApi::importRows);
}

void
AdminApi::add(net::HttpRouter& router,
              const char* method,
              const char* path,
              Handler handler)
{
  router.add(method, path, [this, handler](net::HttpExchange& exchange) {
    return authorizeAndHandle(exchange, handler);
  });
}

net::Awaitable<void>
AdminApi::authorizeAndHandle(net::HttpExchange& exchange, Handler handler)
{
  const auto table = mDependencies.table.snapshot();
  const auto token = exchange.request().bearerToken();
  net::HttpResponse response;
  const auto* principal = token.empty() ? nullptr : table->authenticate(token);
  if (table->revision == 0) {
    response =
      errorResponse(net::status::kUnavailable,
                    "no_table",
                    "this instance has no table yet; if no table exists at "
                    "all, create one with lentilrackctl bootstrap");
  } else if (principal == nullptr) {
    response =
      errorResponse(net::status::kUnauthorized,
                    "unauthorized",
                    "the header \"Authorization: Bearer TOKEN\" with the "
                    "token of an operator is needed");
  } else if (principal->role != core::PrincipalRole::Operator) {
    response =
      errorResponse(net::status::kForbidden,
                    "forbidden",
                    "principal " + principal->name + " is not an operator");
  } else {
    // Between heartbeats, the revision in this member's own entry may be out of
    // date, so it is set before the request is handled.
    mDependencies.members.self().tableRevision = mDependencies.table.revision();
    Request request{ exchange, principal->name };
    response = co_await (this->*handler)(std::move(request));
  }
  co_await exchange.respond(std::move(response));
}

net::Awaitable<net::HttpResponse>
AdminApi::showTable(Request)
{
  co_return jsonResponse(wire::encode(mDependencies.table.table()));
}

net::Awaitable<net::HttpResponse>
AdminApi::showStatus(Request)
{
  const auto& table = mDependencies.table.table();
  auto status = memberSummary(mDependencies.members, table.revision);
  status["name"] = mDependencies.self.name;
  status["table_revision"] = table.revision;
  status["rows"] = table.rows.size();
  status["principals"] = table.principals.size();
  status["kv_available"] = mDependencies.kv.isAvailable();
  status["cut_off"] = mDependencies.isCutOff();
  co_return jsonResponse(status);
}

net::Awaitable<net::HttpResponse>
AdminApi::showMembers(Request)
{
  co_return jsonResponse(membersView(mDependencies.members));
}

net::Awaitable<net::HttpResponse>
AdminApi::showInForce(Request request)
{
  const auto text = request.exchange.request().query("revision");
  const auto revision = parseRevision(text);
  if (!revision) {
    co_return invalidRevision(text);
  }
  co_return jsonResponse(inForceView(mDependencies.members, *revision));
}

net::Awaitable<net::HttpResponse>
AdminApi::showHistory(Request request)
{
  const auto text = request.exchange.request().query("revision");
  if (text.empty()) {
    const auto tables = co_await mEditor.history();
    if (!tables) {
      co_return historyUnavailable(tables.error());
    }
    co_return jsonResponse(historyView(tables.value()));
  }
  const auto revision = parseRevision(text);
  if (!revision) {
    co_return invalidRevision(text);
  }
  const auto table = co_await mEditor.historyEntry(*revision);
  if (table) {
    co_return jsonResponse(wire::encode(table.value()));
  }
  if (table.error() != backends::BackendError::NotFound) {
    co_return historyUnavailable(table.error());
  }
  co_return errorResponse(
    net::status::kNotFound,
    "unknown_revision",
    "revision " + text + " is not in the history, which holds the last " +
      std::to_string(node::kMaxHistoryLength) + " revisions");
}

net::Awaitable<net::HttpResponse>
AdminApi::exportRows(Request)
{
  net::HttpResponse response;
  response.contentType = "text/csv";
  response.body = core::CsvFormat().writeRows(mDependencies.table.table());
  co_return response;
}

} // namespace lentilrack::entry
