#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace lentilrack::net {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Writes log lines with time, level and the logger's prefix to standard error.
/// Messages must not contain secrets.
class Logger
{
public:
  explicit Logger(std::string prefix, LogLevel minimum = LogLevel::Info);

  /// Returns a logger for a component: name "orders" gives the prefix
  /// "entry/orders" if this logger has the prefix "entry".
  Logger child(std::string_view name) const;

  template<typename... Args>
  void debug(fmt::format_string<Args...> format, Args&&... args) const
  {
    log(LogLevel::Debug, format, std::forward<Args>(args)...);
  }
  template<typename... Args>
  void info(fmt::format_string<Args...> format, Args&&... args) const
  {
    log(LogLevel::Info, format, std::forward<Args>(args)...);
  }
  template<typename... Args>
  void warning(fmt::format_string<Args...> format, Args&&... args) const
  {
    log(LogLevel::Warning, format, std::forward<Args>(args)...);
  }
  template<typename... Args>
  void error(fmt::format_string<Args...> format, Args&&... args) const
  {
    log(LogLevel::Error, format, std::forward<Args>(args)...);
  }

private:
  template<typename... Args>
  void log(LogLevel level,
           fmt::format_string<Args...> format,
           Args&&... args) const
  {
    if (level >= mMinimum) {
      write(level, fmt::format(format, std::forward<Args>(args)...));
    }
  }
  void write(LogLevel level, std::string_view message) const;

  std::string mPrefix;
  LogLevel mMinimum;
};

} // namespace lentilrack::net
