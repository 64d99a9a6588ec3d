#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lentilrack::standins {

/// The answer that a stand-in engine gives to a prompt: token `i` is a fixed
/// function of the prompt and `i`, so that a checker can tell whether an answer
/// is whole and belongs to its request.
class AnswerText
{
public:
  explicit AnswerText(std::string_view prompt);

  /// Three letters and a space.
  std::string token(std::int64_t index) const;
  /// Tokens [from, to).
  std::string text(std::int64_t from, std::int64_t to) const;

private:
  std::uint64_t mSeed;
};

/// Number of tokens of the answer: N if the prompt contains "len=N", but never
/// more than `maxTokens`; otherwise `maxTokens`.
std::int64_t
answerLength(std::string_view prompt, std::int64_t maxTokens);

} // namespace lentilrack::standins
