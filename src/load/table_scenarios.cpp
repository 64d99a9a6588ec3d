#include "load/edit_check.h"
#include "load/scenarios.h"

#include <array>

namespace lentilrack::load {

using net::Awaitable;
using wire::Json;

namespace {

constexpr const char* kOperator = "lead";
constexpr int kEditors = 6;
/// Kinds of the rows that the operators edit concurrently.
constexpr std::array<const char*, 3> kKinds{ "short", "long", "order" };

struct EditRace
{
  EditCheck check;
  int running = 0;
  /// Milliseconds until an entry reported that an accepted edit is in force.
  Samples inForce;
};

core::Endpoint
randomEntry(Context& context)
{
  const auto& entries = context.deployment.entries;
  return entries[context.random(static_cast<std::uint32_t>(entries.size()))];
}

Awaitable<Json>
readTable(Context& context, core::Endpoint entry)
{
  const auto result = co_await callJson(
    context, std::move(entry), "GET", "/admin/table", kOperator, nullptr);
  co_return Json::parse(result.response.body, nullptr, false);
}

Json
findRow(const Json& table, const std::string& kind)
{
  for (const auto& row : table.value("rows", Json::array())) {
    if (row.value("principal", "") == "desk" && row.value("kind", "") == kind) {
      return row;
    }
  }
  return nullptr;
}

Awaitable<void>
waitInForce(Context& context, EditRace& race, std::int64_t revision)
{
  const auto start = core::Clock::now();
  constexpr double kMaxMillis = 7000;
  while (millisSince(start) < kMaxMillis) {
    const auto result =
      co_await callJson(context,
                        randomEntry(context),
                        "GET",
                        "/admin/force?revision=" + std::to_string(revision),
                        kOperator,
                        nullptr);
    const auto json = Json::parse(result.response.body, nullptr, false);
    if (json.is_object() && json.value("in_force", false)) {
      break;
    }
    co_await net::sleepFor(core::Millis(20));
  }
  race.inForce.add(millisSince(start));
}

Awaitable<void>
runEditor(Context& context,
          Report& report,
          EditRace& race,
          int number,
          core::TimePoint end)
{
  constexpr int kTimedEditInterval = 10;
  for (int i = 0; core::Clock::now() < end; ++i) {
    const auto entry = randomEntry(context);
    const auto table = co_await readTable(context, entry);
    const std::string kind =
      kKinds.at(context.random(static_cast<std::uint32_t>(kKinds.size())));
    auto row = findRow(table, kind);
    if (row.is_null()) {
      ++report.unknown;
      continue;
    }
    const std::int64_t seenVersion = row.value("version", 0);
    const std::int64_t weight = 1 + context.random(1000);
    row["weight"] = weight;
    Json body{ { "editId",
                 context.runId + "-" + std::to_string(number) + "-" +
                   std::to_string(i) },
               { "command",
                 { { "type", "set_row" },
                   { "row", row },
                   { "seenVersion", seenVersion } } } };
    const auto result = co_await callJson(
      context, entry, "POST", "/admin/edits", kOperator, std::move(body));
    ++report.requests;
    const auto json = Json::parse(result.response.body, nullptr, false);
    if (result.isSuccess() && json.is_object()) {
      ++report.done;
      const std::int64_t revision = json.value("revision", 0);
      race.check.recordAccepted(kind, { revision, seenVersion, weight });
      if (i % kTimedEditInterval == 0) {
        co_await waitInForce(context, race, revision);
      }
    } else if (result.response.status == 409) {
      ++report.notRun;
    } else {
      ++report.unknown;
      race.check.recordUncertain(kind);
    }
  }
  --race.running;
}

} // namespace

Awaitable<void>
runEditRace(Context& context, Report& report)
{
  EditRace race;
  race.running = kEditors;
  const auto end = core::Clock::now() + context.duration;
  for (int i = 0; i < kEditors; ++i) {
    net::spawn(context.io, runEditor(context, report, race, i, end));
  }
  while (race.running > 0) {
    co_await net::sleepFor(core::Millis(20));
  }
  co_await net::sleepFor(core::Millis(1000));
  for (const auto& entry : context.deployment.entries) {
    const auto table = co_await readTable(context, entry);
    for (const std::string kind : kKinds) {
      const auto row = findRow(table, kind);
      race.check.checkFinalRow(
        kind, row.value("version", 0), row.value("weight", 0), report);
    }
  }
  race.check.checkEditSequences(report);
  report.extra["in_force_p50_ms"] = race.inForce.quantile(0.5);
  report.extra["in_force_p99_ms"] = race.inForce.quantile(0.99);
}

} // namespace lentilrack::load
