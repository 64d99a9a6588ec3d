#pragma once

#include "core/backend_server.h"
#include "core/member.h"

#include <string>
#include <vector>

namespace lentilrack::core {

/// Name of the dispatcher that owns a backend server: the highest rendezvous
/// hash among live dispatchers of the server's failure domain, or among all if
/// the domain has none. Empty without dispatchers. A view only: two processes
/// with different views may both own a server for a moment.
std::string
ownerOf(const BackendServer& server, const std::vector<Member>& dispatchers);

} // namespace lentilrack::core
