#pragma once

#include "core/backend_server.h"
#include "core/member.h"

#include <string>
#include <vector>

namespace lentilrack::core {

/// Returns the name of the dispatcher that owns a backend server: the one with
/// the highest rendezvous hash among `dispatchers` of the server's failure
/// domain, or among all if the domain has none. Returns an empty text without
/// dispatchers. Processes with different membership views may compute different
/// owners for a short time.
std::string
ownerOf(const BackendServer& server, const std::vector<Member>& dispatchers);

} // namespace lentilrack::core
