#include "cases.h"
#include "deployment.h"

#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <functional>
#include <map>

namespace lentilrack::review {

namespace {

int
run(int argc, const char** argv)
{
  const std::map<std::string, std::function<net::Awaitable<int>(Deployment&)>>
    cases{ { "malformed-request", runMalformedRequest },
           { "large-submission", runLargeSubmission },
           { "unreadable-batch", runUnreadableBatch },
           { "former-owner", runFormerOwner } };
  constexpr int kArguments = 3;
  const auto found = argc == kArguments ? cases.find(argv[1]) : cases.end();
  if (found == cases.end()) {
    fmt::print(stderr, "usage: review-2 CASE RECORD\n");
    return kNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  auto folder =
    (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) {
    return kNotRun;
  }
  int status = kNotRun;
  {
    net::asio::io_context io(1);
    Record record(argv[2]);
    Deployment deployment(io, record, folder);
    net::asio::co_spawn(
      io,
      found->second(deployment),
      [&](const std::exception_ptr& error, int result) {
        status = error ? kNotRun : result;
        io.stop();
      });
    io.run();
    deployment.kill();
    record.line(fmt::format("exit status {}", status));
  }
  if (std::getenv("REVIEW_LOGS") == nullptr) {
    std::filesystem::remove_all(folder);
  } else {
    fmt::print("logs: {}\n", folder);
  }
  return status;
}

} // namespace

} // namespace lentilrack::review

int
main(int argc, const char** argv)
{
  return lentilrack::review::run(argc, argv);
}
