#include "core/table_csv.h"
#include "core/table_diff.h"
#include "entry/admin_api.h"
#include "entry/admin_response.h"
#include "net/http_status.h"
#include "wire/edit_codec.h"

#include <fmt/format.h>

namespace lentilrack::entry {

namespace {

/// Returns the table with all its rows replaced by `rows`.
core::Table
replaceRows(core::Table table, const std::vector<core::Row>& rows)
{
  table.rows.clear();
  for (const auto& row : rows) {
    table.rows[{ row.principal, row.kind }] = row;
  }
  return table;
}

} // namespace

net::Awaitable<net::HttpResponse>
AdminApi::postEdit(Request request)
{
  const auto json = wire::parseJson(request.exchange.request().body);
  if (!json) {
    co_return errorResponse(
      net::status::kBadRequest, "malformed", "the body " + json.error().text());
  }
  auto edit = wire::decodeEdit(json.value());
  if (!edit) {
    co_return errorResponse(
      net::status::kBadRequest, "malformed", edit.error().text());
  }
  co_return co_await runEdit(std::move(edit.value()),
                             std::move(request.operatorName));
}

net::Awaitable<net::HttpResponse>
AdminApi::importRows(Request request)
{
  const auto& http = request.exchange.request();
  const auto rows = core::CsvFormat().readRows(http.body);
  if (!rows) {
    co_return errorResponse(
      net::status::kBadRequest, "malformed", rows.error().text());
  }
  const auto table = mDependencies.table.snapshot();
  const auto imported = replaceRows(*table, rows.value());
  if (const auto reason = core::validateTable(imported)) {
    co_return errorResponse(net::status::kBadRequest, "invalid", *reason);
  }
  const auto dryRun = http.query("dry_run");
  if (dryRun == "1" || dryRun == "true") {
    wire::Json answer{ { "revision", table->revision },
                       { "changes", core::tableDiff(*table, imported) } };
    co_return jsonResponse(answer);
  }
  core::Edit edit{ http.query("edit_id"),
                   core::changesBetween(*table, imported) };
  const auto base = http.query("revision");
  const bool isKnown = core::acceptedRevision(*table, edit.id).has_value();
  if (!isKnown && base != std::to_string(table->revision)) {
    co_return errorResponse(
      net::status::kConflict,
      "conflict",
      fmt::format("the parameter revision is \"{}\", but revision {} is in "
                  "force; check the changes again with dry_run=1",
                  base,
                  table->revision));
  }
  co_return co_await runEdit(std::move(edit), std::move(request.operatorName));
}

net::Awaitable<net::HttpResponse>
AdminApi::runEdit(core::Edit edit, std::string operatorName)
{
  const auto id = edit.id;
  const auto outcome = co_await mEditor.run(std::move(edit));
  const auto name = outcomeName(outcome);
  mDependencies.metrics.increment("table_edits_total{outcome=\"" + name +
                                  "\"}");
  if (const auto* accepted = std::get_if<core::EditAccepted>(&outcome)) {
    mDependencies.log.info("Edit {} by {} was accepted as revision {}",
                           id,
                           operatorName,
                           accepted->revision);
  } else {
    mDependencies.log.info("Edit {} by {} ended as {}", id, operatorName, name);
  }
  co_return outcomeResponse(outcome);
}

} // namespace lentilrack::entry
