#include "wire/edit_codec.h"

#include "wire/table_codec.h"

#include <limits>

namespace lentilrack::wire {

namespace {

constexpr std::int64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
constexpr const char* kCommandTypes =
  "set_row, remove_row, set_principal, remove_principal or restore";

struct ChangeEncoder
{
  Json operator()(const core::SetRow& change) const
  {
    return { { "type", "set_row" },
             { "row", encode(change.row) },
             { "seenVersion", change.seenVersion } };
  }
  Json operator()(const core::RemoveRow& change) const
  {
    return { { "type", "remove_row" },
             { "principal", change.key.first },
             { "kind", change.key.second },
             { "seenVersion", change.seenVersion } };
  }
  Json operator()(const core::SetPrincipal& change) const
  {
    return { { "type", "set_principal" },
             { "principal", encode(change.principal) },
             { "seenVersion", change.seenVersion } };
  }
  Json operator()(const core::RemovePrincipal& change) const
  {
    return { { "type", "remove_principal" },
             { "name", change.name },
             { "seenVersion", change.seenVersion } };
  }
  Json operator()(const core::ChangeSet& restore) const
  {
    Json changes = Json::array();
    for (const auto& change : restore.changes) {
      changes.push_back(std::visit(*this, change));
    }
    return { { "type", "restore" }, { "changes", std::move(changes) } };
  }
};

/// Returns the decoded value. If `decoded` is an error, throws it as a
/// DecodeException and puts `path`, the position of the value in the edit,
/// before the name of the field.
template<typename T>
T
nestedValue(Decoded<T> decoded, const std::string& path)
{
  if (!decoded) {
    auto error = decoded.error();
    error.field = error.field.empty() ? path : path + "." + error.field;
    throw DecodeException(std::move(error));
  }
  return std::move(decoded.value());
}

core::Change
readChange(ObjectReader& reader,
           const std::string& type,
           const std::string& path)
{
  const auto seen = reader.integer("seenVersion", 0, kMaxVersion);
  if (type == "set_row") {
    return core::SetRow{
      nestedValue(decodeRow(reader.required<Json>("row")), path + ".row"), seen
    };
  }
  if (type == "remove_row") {
    auto principal = reader.required<std::string>("principal");
    auto kind = reader.required<std::string>("kind");
    return core::RemoveRow{ { std::move(principal), std::move(kind) }, seen };
  }
  if (type == "set_principal") {
    return core::SetPrincipal{
      nestedValue(decodePrincipal(reader.required<Json>("principal")),
                  path + ".principal"),
      seen
    };
  }
  if (type == "remove_principal") {
    return core::RemovePrincipal{ reader.required<std::string>("name"), seen };
  }
  reader.fail("type", std::string("must be ") + kCommandTypes);
}

core::ChangeSet
readRestore(ObjectReader& reader, const std::string& path)
{
  const auto list = reader.required<Json>("changes");
  if (!list.is_array()) {
    reader.fail("changes", "must be a list");
  }
  core::ChangeSet restore;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const auto itemPath = path + ".changes[" + std::to_string(i) + "]";
    ObjectReader item(list.at(i), itemPath);
    const auto type = item.required<std::string>("type");
    restore.changes.push_back(readChange(item, type, itemPath));
    item.rejectUnknownFields();
  }
  return restore;
}

core::Edit
readEdit(const Json& json)
{
  ObjectReader reader(json);
  core::Edit edit;
  edit.id = reader.required<std::string>("editId");
  const auto command = reader.required<Json>("command");
  reader.rejectUnknownFields();
  const std::string path = "command";
  ObjectReader commandReader(command, path);
  const auto type = commandReader.required<std::string>("type");
  if (type == "restore") {
    edit.command = readRestore(commandReader, path);
  } else {
    std::visit([&](auto change) { edit.command = std::move(change); },
               readChange(commandReader, type, path));
  }
  commandReader.rejectUnknownFields();
  return edit;
}

} // namespace

Json
encode(const core::Edit& edit)
{
  return { { "editId", edit.id },
           { "command", std::visit(ChangeEncoder(), edit.command) } };
}

Decoded<core::Edit>
decodeEdit(const Json& json)
{
  return decodeWith([&] { return readEdit(json); });
}

} // namespace lentilrack::wire
