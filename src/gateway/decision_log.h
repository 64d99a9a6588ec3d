#pragma once

#include "core/time.h"

#include <spdlog/logger.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace lentilrack::gateway {

/// Structured log on standard output with one JSON object per line and one line
/// per decision. Logging never blocks: a line is dropped if it exceeds the rate
/// limit or if the reader of the output does not accept it in time. Only lines
/// dropped by the rate limit are counted.
class DecisionLog
{
public:
  using Value = std::variant<std::string_view, std::int64_t, double, bool>;
  struct Field
  {
    Field(std::string_view fieldName, std::string_view text)
      : name(fieldName)
      , value(text)
    {
    }
    Field(std::string_view fieldName, const std::string& text)
      : Field(fieldName, std::string_view(text))
    {
    }
    Field(std::string_view fieldName, const char* text)
      : Field(fieldName, std::string_view(text))
    {
    }
    Field(std::string_view fieldName, core::Millis time)
      : name(fieldName)
      , value(static_cast<std::int64_t>(time.count()))
    {
    }
    template<typename Number>
    Field(std::string_view fieldName, Number number)
      : name(fieldName)
    {
      if constexpr (std::is_same_v<Number, bool>) {
        value = number;
      } else if constexpr (std::is_floating_point_v<Number>) {
        value = static_cast<double>(number);
      } else {
        value = static_cast<std::int64_t>(number);
      }
    }

    std::string_view name;
    Value value;
  };

  /// Rate limit. At this rate, logging takes about 0.2 ms of processor time per
  /// second.
  static constexpr double kLinesPerSecond = 100;
  /// Number of lines that may be logged at once after a quiet period.
  static constexpr double kBurst = 300;

  DecisionLog();
  /// Logs to the given sink instead of standard output. Used by tests.
  explicit DecisionLog(spdlog::sink_ptr sink);

  void info(std::string_view event, std::initializer_list<Field> fields);
  void warning(std::string_view event, std::initializer_list<Field> fields);
  /// Returns the number of lines dropped by the rate limit.
  std::int64_t droppedLines() const { return mDroppedTotal; }

private:
  void write(spdlog::level::level_enum level,
             std::string_view event,
             std::initializer_list<Field> fields);
  /// Takes a token from the bucket. Returns false if there is none, in which
  /// case the line must be dropped.
  bool takeToken();

  std::shared_ptr<spdlog::logger> mLogger;
  /// Number of tokens in the bucket. Each logged line takes one.
  double mTokens = kBurst;
  /// When tokens were last added to the bucket.
  core::TimePoint mRefilled = core::Clock::now();
  /// Number of lines that the rate limit has dropped since the last logged
  /// line.
  std::int64_t mDroppedSinceLastLine = 0;
  std::int64_t mDroppedTotal = 0;
};

} // namespace lentilrack::gateway
