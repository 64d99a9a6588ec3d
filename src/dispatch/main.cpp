#include "dispatch/dispatch_app.h"
#include "node/process.h"

using namespace lentilrack;

int
main(int argc, char** argv)
{
  node::NodeSettings settings;
  settings.role = core::MemberRole::Dispatch;
  dispatch::DispatchOptions options;
  net::SettingsBuilder builder(
    "lentilrack-dispatch",
    "Runs work on the backend servers that this instance owns.");
  settings.addFlags(builder);
  builder.choice("policy",
                 &options.policy,
                 { "default", "baseline" },
                 "scheduling policy for queues, slots and server choice");
  if (const auto exitCode = builder.parse(argc, argv)) {
    return *exitCode;
  }
  net::asio::io_context io;
  node::Node node(io, settings);
  dispatch::DispatchApp app(node, options);
  return node::runProcess(io, node, app.hooks());
}
