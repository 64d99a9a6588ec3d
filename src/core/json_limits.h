#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace lentilrack::core {

/// Maximum number of arrays and objects within each other. Documents of the
/// system and of the platform have fewer than ten.
inline constexpr std::size_t kMaxJsonDepth = 32;
/// Maximum number of values of a document. A decoded value takes up to 64
/// bytes, many times the size of its text. The largest proper documents,
/// submissions of batches and snapshots of the replicated state, have some ten
/// thousand.
inline constexpr std::size_t kMaxJsonValues = 200'000;

/// Thrown if a text is not valid JSON or exceeds a limit.
class JsonError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Parses text that was received from outside. Checks the limits before any
/// value is created, so that a deeply nested or very long list cannot use up
/// the memory or the stack. Throws JsonError.
nlohmann::json
parseJson(std::string_view text);

/// Parses text as parseJson() does, but returns a discarded value if the text
/// is not valid or exceeds a limit.
nlohmann::json
parseJsonOrDiscard(std::string_view text);

} // namespace lentilrack::core
