#pragma once

#include "core/edit_transaction.h"
#include "net/http_types.h"
#include "wire/object_reader.h"

#include <string>

namespace lentilrack::entry {

/// Returns a response with a JSON body.
net::HttpResponse
jsonResponse(const wire::Json& body, int status = 200);

/// Returns an error response with the verdict "not_run": nothing of the request
/// took effect.
net::HttpResponse
errorResponse(int status, const std::string& code, const std::string& message);

/// Returns the response for the outcome of an edit: 200 accepted, 409 conflict
/// with the current row, 400 invalid, 503 unavailable, or 503 unknown with the
/// verdict "unknown".
net::HttpResponse
outcomeResponse(const core::EditOutcome& outcome);

/// Returns "accepted", "conflict", "invalid", "unavailable" or "unknown".
std::string
outcomeName(const core::EditOutcome& outcome);

} // namespace lentilrack::entry
