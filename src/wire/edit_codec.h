#pragma once

#include "core/table_edit.h"
#include "wire/object_reader.h"

namespace lentilrack::wire {

/// JSON form of edits, as posted to /admin/edits:
/// {"editId","command":{"type":"set_row","row":{...},"seenVersion":n}}. The
/// other types are "remove_row" (principal, kind), "set_principal" (principal),
/// "remove_principal" (name), each with seenVersion, and "restore" (changes: a
/// list of the other commands).
Json
encode(const core::Edit& edit);

/// Checks every field's range; errors name the field with its path.
Decoded<core::Edit>
decodeEdit(const Json& json);

} // namespace lentilrack::wire
