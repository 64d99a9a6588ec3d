#include "gateway/decision_log.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace lentilrack::gateway {

namespace {

/// Writes to standard output without blocking. If only a part of a line could
/// be written, the rest is written before the next line; lines logged in the
/// meantime are dropped.
class OutputSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  OutputSink()
  {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    // If the flag cannot be set, the output still works, but a write may block.
    if (flags >= 0) {
      fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }

protected:
  void sink_it_(const spdlog::details::log_msg& message) override
  {
    if (!writePending()) {
      return;
    }
    spdlog::memory_buf_t line;
    base_sink::formatter_->format(message, line);
    mUnwritten.assign(line.data(), line.size());
    const auto size = mUnwritten.size();
    writePending();
    // Drop a line of which nothing could be written.
    if (mUnwritten.size() == size) {
      mUnwritten.clear();
    }
  }
  void flush_() override {}

private:
  bool writePending()
  {
    while (!mUnwritten.empty()) {
      const auto written =
        ::write(STDOUT_FILENO, mUnwritten.data(), mUnwritten.size());
      if (written <= 0) {
        return false;
      }
      mUnwritten.erase(0, static_cast<std::size_t>(written));
    }
    return true;
  }

  std::string mUnwritten;
};

void
appendText(std::string& line, std::string_view text)
{
  const bool isPlain = std::ranges::all_of(text, [](unsigned char c) {
    return c >= ' ' && c < 0x7f && c != '"' && c != '\\';
  });
  if (isPlain) {
    line += '"';
    line += text;
    line += '"';
  } else {
    line += nlohmann::json(text).dump(
      -1, ' ', true, nlohmann::json::error_handler_t::replace);
  }
}

void
appendField(std::string& line, const DecisionLog::Field& field)
{
  line += fmt::format(",\"{}\":", field.name);
  if (const auto* text = std::get_if<std::string_view>(&field.value)) {
    appendText(line, *text);
  } else if (const auto* number = std::get_if<std::int64_t>(&field.value)) {
    line += std::to_string(*number);
  } else if (const auto* real = std::get_if<double>(&field.value)) {
    line += fmt::format("{:.3f}", *real);
  } else {
    line += std::get<bool>(field.value) ? "true" : "false";
  }
}

} // namespace

DecisionLog::DecisionLog()
  : DecisionLog(std::make_shared<OutputSink>())
{
}

DecisionLog::DecisionLog(spdlog::sink_ptr sink)
  : mLogger(std::make_shared<spdlog::logger>("decisions", std::move(sink)))
{
  mLogger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
    R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})",
    spdlog::pattern_time_type::utc));
  mLogger->flush_on(spdlog::level::off);
}

void
DecisionLog::info(std::string_view event, std::initializer_list<Field> fields)
{
  write(spdlog::level::info, event, fields);
}

void
DecisionLog::warning(std::string_view event,
                     std::initializer_list<Field> fields)
{
  write(spdlog::level::warn, event, fields);
}

void
DecisionLog::write(spdlog::level::level_enum level,
                   std::string_view event,
                   std::initializer_list<Field> fields)
{
  if (!takeToken()) {
    ++mDroppedSinceLastLine;
    ++mDroppedTotal;
    return;
  }
  std::string line = fmt::format("\"event\":\"{}\"", event);
  for (const auto& field : fields) {
    appendField(line, field);
  }
  if (mDroppedSinceLastLine > 0) {
    line += fmt::format(",\"suppressed_before\":{}", mDroppedSinceLastLine);
    mDroppedSinceLastLine = 0;
  }
  mLogger->log(level, spdlog::string_view_t(line));
}

bool
DecisionLog::takeToken()
{
  const auto now = core::Clock::now();
  const double seconds = std::chrono::duration<double>(now - mRefilled).count();
  mTokens = std::min(kBurst, mTokens + seconds * kLinesPerSecond);
  mRefilled = now;
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace lentilrack::gateway
