#pragma once

#include "core/table_edit.h"
#include "wire/object_reader.h"

namespace lentilrack::wire {

/// Encodes an edit to the JSON format of POST /admin/edits:
/// {"editId","command":{"type":"set_row","row":{...},"seenVersion":n}}. The
/// other types are "remove_row" (principal, kind), "set_principal" (principal),
/// "remove_principal" (name), each with seenVersion, and "restore" (changes: a
/// list of the other commands).
Json
encode(const core::Edit& edit);

/// Decodes an edit and checks the range of every field. Errors contain the path
/// of the field.
Decoded<core::Edit>
decodeEdit(const Json& json);

} // namespace lentilrack::wire
