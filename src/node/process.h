#pragma once

#include "node/node.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilrack::node {

/// Callbacks by which a program takes part in the life cycle of its process.
struct ProcessCallbacks
{
  /// Called once the node has joined. Link handlers must have been added to the
  /// node before.
  std::function<void()> onStarted;
  /// Called on the first SIGTERM or SIGINT. The program must refuse new work
  /// from then on.
  std::function<void()> onDrain;
  /// Returns one line for each work item in flight. A drained process exits
  /// only when there are none; a forced exit logs the lines as aborted work.
  std::function<std::vector<std::string>()> listInFlight;
};

/// Runs a process until it exits and returns the exit code. The first SIGTERM
/// or SIGINT drains the process and gives 0. A second one exits immediately,
/// logs the work that it aborts and gives 3. SIGUSR1 writes the state dump to
/// standard error. A node that cannot start gives 1.
int
runProcess(net::asio::io_context& io, Node& node, ProcessCallbacks callbacks);

} // namespace lentilrack::node
