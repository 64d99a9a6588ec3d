#include "wire/table_codec.h"

#include "core/row_fields.h"

#include <limits>

namespace lentilrack::wire {

namespace {

using Limits = core::RowLimits;

constexpr std::int64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();

std::string
readName(ObjectReader& reader, const char* field)
{
  auto name = reader.required<std::string>(field);
  if (!core::isValidName(name)) {
    reader.fail(field, "must have " + std::string(core::kNameRequirements));
  }
  return name;
}

core::PrincipalRole
readRole(ObjectReader& reader)
{
  const auto role = core::parseRole(reader.required<std::string>("role"));
  if (!role) {
    reader.fail("role", "must be caller, trainer or operator");
  }
  return *role;
}

core::Row
readRow(const Json& json, const std::string& path)
{
  ObjectReader reader(json, path);
  core::Row row;
  row.principal = readName(reader, "principal");
  row.kind = readName(reader, "kind");
  row.weight = reader.integerOr("weight", 1, Limits::kMaxWeight, 1);
  row.ratePerSecond = reader.optional<double>("ratePerSecond", 0);
  if (!(row.ratePerSecond >= 0 && row.ratePerSecond <= Limits::kMaxRate)) {
    reader.fail("ratePerSecond", "must be 0 to 1000000");
  }
  row.maxConcurrent =
    reader.integerOr("maxConcurrent", 0, Limits::kMaxConcurrent, 0);
  row.priority = reader.integerOr("priority", 0, Limits::kMaxPriority, 5);
  row.deadline = core::Millis(
    reader.integerOr("deadlineMs", 1, Limits::kMaxDeadlineMs, 30000));
  row.stalenessBound =
    reader.integerOr("stalenessBound", 0, Limits::kMaxStaleness, 1);
  row.hedge = reader.optional<bool>("hedge", false);
  row.version = reader.integerOr("version", 0, kMaxVersion, 0);
  reader.rejectUnknownFields();
  return row;
}

core::Principal
readPrincipal(const Json& json, const std::string& path)
{
  ObjectReader reader(json, path);
  core::Principal principal;
  principal.name = readName(reader, "name");
  principal.role = readRole(reader);
  principal.tokenHash = reader.required<std::string>("tokenHash");
  if (!core::isTokenHash(principal.tokenHash)) {
    reader.fail("tokenHash", "must be 64 lower-case hex digits");
  }
  principal.version = reader.integerOr("version", 0, kMaxVersion, 0);
  reader.rejectUnknownFields();
  return principal;
}

core::Table
readTable(const Json& json)
{
  ObjectReader reader(json);
  core::Table table;
  table.revision = reader.integer("revision", 0, kMaxVersion);
  const auto rows = reader.required<Json>("rows");
  for (std::size_t i = 0; i < rows.size(); ++i) {
    auto row = readRow(rows.at(i), "rows[" + std::to_string(i) + "]");
    const core::RowKey key{ row.principal, row.kind };
    if (!table.rows.emplace(key, std::move(row)).second) {
      reader.fail("rows", "has two rows for " + key.first + "/" + key.second);
    }
  }
  const auto principals = reader.required<Json>("principals");
  for (std::size_t i = 0; i < principals.size(); ++i) {
    auto principal =
      readPrincipal(principals.at(i), "principals[" + std::to_string(i) + "]");
    const auto name = principal.name;
    if (!table.principals.emplace(name, std::move(principal)).second) {
      reader.fail("principals", "has " + name + " twice");
    }
  }
  table.recentEdits =
    reader.optional<std::deque<std::string>>("recentEdits", {});
  reader.rejectUnknownFields();
  return table;
}

} // namespace

std::string
roleName(core::PrincipalRole role)
{
  return core::roleText(role);
}

Json
encode(const core::Row& row)
{
  return { { "principal", row.principal },
           { "kind", row.kind },
           { "weight", row.weight },
           { "ratePerSecond", row.ratePerSecond },
           { "maxConcurrent", row.maxConcurrent },
           { "priority", row.priority },
           { "deadlineMs", row.deadline.count() },
           { "stalenessBound", row.stalenessBound },
           { "hedge", row.hedge },
           { "version", row.version } };
}

Json
encode(const core::Principal& principal)
{
  return { { "name", principal.name },
           { "role", roleName(principal.role) },
           { "tokenHash", principal.tokenHash },
           { "version", principal.version } };
}

Json
encode(const core::Table& table)
{
  Json rows = Json::array();
  for (const auto& [key, row] : table.rows) {
    rows.push_back(encode(row));
  }
  Json principals = Json::array();
  for (const auto& [name, principal] : table.principals) {
    principals.push_back(encode(principal));
  }
  return { { "revision", table.revision },
           { "rows", rows },
           { "principals", principals },
           { "recentEdits", table.recentEdits } };
}

Decoded<core::Row>
decodeRow(const Json& json)
{
  return decodeWith([&] { return readRow(json, ""); });
}

Decoded<core::Principal>
decodePrincipal(const Json& json)
{
  return decodeWith([&] { return readPrincipal(json, ""); });
}

Decoded<core::Table>
decodeTable(const Json& json)
{
  return decodeWith([&] { return readTable(json); });
}

} // namespace lentilrack::wire
