#pragma once

#include "node/node.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilrack::node {

/// What a program adds to the common course of a process.
struct ProcessCallbacks
{
  /// Called once the node has joined; adds link handlers before through the
  /// node itself.
  std::function<void()> started;
  /// Called at the first SIGTERM or SIGINT: refuse new work from now on.
  std::function<void()> drain;
  /// Work in flight, one line each, for the log when it is cut.
  std::function<std::vector<std::string>()> inFlight;
};

/// Runs a process: starts the node, handles signals, drains, ends. The first
/// SIGTERM drains and gives 0; a second one ends at once, names what it cut
/// and gives 3. SIGUSR1 writes the state dump to standard error. A node that
/// cannot start gives 1.
int
runProcess(net::asio::io_context& io, Node& node, ProcessCallbacks hooks);

} // namespace lentilrack::node
