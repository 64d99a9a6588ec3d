#include "core/json_limits.h"

#include <fmt/format.h>

namespace lentilrack::core {

namespace {

/// Throws JsonError if the text exceeds a limit. Counts brackets and commas
/// outside of strings, so that the limits hold for malformed text, too.
void
checkLimits(std::string_view text)
{
  std::size_t depth = 0;
  std::size_t values = 1;
  bool isInString = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (isInString) {
      i += c == '\\' ? 1 : 0;
      isInString = c != '"';
      continue;
    }
    isInString = c == '"';
    const bool isOpening = c == '[' || c == '{';
    depth += isOpening ? 1 : 0;
    depth -= (c == ']' || c == '}') && depth > 0 ? 1 : 0;
    values += isOpening || c == ',' ? 1 : 0;
    if (depth > kMaxJsonDepth) {
      throw JsonError(
        fmt::format("nested deeper than {} levels", kMaxJsonDepth));
    }
    if (values > kMaxJsonValues) {
      throw JsonError(fmt::format("more than {} values", kMaxJsonValues));
    }
  }
}

} // namespace

nlohmann::json
parseJson(std::string_view text)
{
  checkLimits(text);
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::exception& error) {
    throw JsonError(error.what());
  }
}

nlohmann::json
parseJsonOrDiscard(std::string_view text)
{
  try {
    return parseJson(text);
  } catch (const JsonError&) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

} // namespace lentilrack::core
