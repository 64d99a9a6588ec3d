#pragma once

#include "core/edit_transaction.h"
#include "net/http_types.h"
#include "wire/object_reader.h"

#include <string>

namespace lentilrack::entry {

net::HttpResponse
jsonResponse(const wire::Json& body, int status = 200);

/// The error form of every answer: nothing of the request took effect.
net::HttpResponse
errorResponse(int status, const std::string& code, const std::string& message);

/// 200 accepted, 409 conflict with the current row, 400 invalid, 503
/// unavailable, and 503 unknown with the verdict "unknown".
net::HttpResponse
outcomeResponse(const core::EditOutcome& outcome);

/// "accepted", "conflict", "invalid", "unavailable", "unknown".
std::string
outcomeName(const core::EditOutcome& outcome);

} // namespace lentilrack::entry
