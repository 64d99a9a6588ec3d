#pragma once

#include "core/table.h"
#include "wire/object_reader.h"

namespace lentilrack::wire {

/// Encode the table to the JSON format that is stored in the key-value service
/// and fetched from peers. The decode functions check the range of every field.
Json
encode(const core::Row&);
Json
encode(const core::Principal&);
Json
encode(const core::Table&);

Decoded<core::Row>
decodeRow(const Json& json);
Decoded<core::Principal>
decodePrincipal(const Json& json);
Decoded<core::Table>
decodeTable(const Json& json);

/// Returns "caller", "trainer" or "operator".
std::string
roleName(core::PrincipalRole role);

} // namespace lentilrack::wire
