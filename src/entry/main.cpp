#include "entry/entry_app.h"
#include "node/process.h"

int
main(int argc, char** argv)
{
  using namespace lentilrack;
  node::NodeSettings settings;
  settings.role = core::MemberRole::Entry;
  std::string policy = "default";
  net::SettingsBuilder builder(
    "lentilrack-entry", "Serves callers, trainers and operators over HTTP.");
  settings.addFlags(builder);
  builder.choice("policy",
                 &policy,
                 { "default", "baseline" },
                 "how dispatchers are chosen; baseline is for comparison");
  if (const auto exitCode = builder.parse(argc, argv)) {
    return *exitCode;
  }
  net::asio::io_context io(1);
  node::Node node(io, std::move(settings));
  entry::EntryOptions options;
  options.policy =
    policy == "baseline" ? entry::Policy::Baseline : entry::Policy::Default;
  entry::EntryApp app(node, std::move(options));
  node::ProcessCallbacks hooks;
  hooks.onStarted = [&app] { app.start(); };
  hooks.onDrain = [&app] { app.beginDrain(); };
  hooks.listInFlight = [&app] { return app.inFlight(); };
  return node::runProcess(io, node, std::move(hooks));
}
