#include "ctl/ctl_app.h"

#include <sodium.h>

#include <cstdio>
#include <fmt/format.h>
#include <iostream>

namespace {

bool
askOnTerminal(const std::string& question)
{
  fmt::print("{} [y/N] ", question);
  std::fflush(stdout);
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "y" || answer == "yes";
}

} // namespace

int
main(int argc, char** argv)
{
  using namespace lentilrack;

  if (sodium_init() < 0) {
    return ctl::kExitFailure;
  }
  ctl::CtlSettings settings;
  if (const auto code = ctl::parseSettings(argc, argv, settings)) {
    return *code;
  }
  ctl::Console console{ [](const std::string& text) { fmt::print("{}", text); },
                        [](const std::string& text) {
                          fmt::print(stderr, "{}", text);
                        },
                        askOnTerminal };
  net::asio::io_context io;
  ctl::CtlApp app(io, std::move(settings), std::move(console));
  int code = ctl::kExitFailure;
  const auto run = [](ctl::CtlApp& program,
                      int& result) -> net::Awaitable<void> {
    result = co_await program.run();
  };
  const auto stop = [&io](const std::exception_ptr& exception) {
    io.stop();
    if (exception) {
      std::rethrow_exception(exception);
    }
  };
  net::asio::co_spawn(io, run(app, code), stop);
  io.run();
  return code;
}
