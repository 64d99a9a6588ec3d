#include "net/log.h"

#include <fmt/chrono.h>

#include <array>
#include <chrono>
#include <cstdio>

namespace lentilrack::net {

Logger::Logger(std::string prefix, LogLevel minimum)
  : mPrefix(std::move(prefix))
  , mMinimum(minimum)
{
}

Logger
Logger::child(std::string_view name) const
{
  return Logger(mPrefix + "/" + std::string(name), mMinimum);
}

void
Logger::write(LogLevel level, std::string_view message) const
{
  constexpr std::array<const char*, 4> kNames{
    "debug", "info", "warn", "error"
  };
  const auto now = std::chrono::floor<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  fmt::print(stderr,
             "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}\n",
             fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
             millis,
             kNames.at(static_cast<std::size_t>(level)),
             mPrefix,
             message);
}

} // namespace lentilrack::net
