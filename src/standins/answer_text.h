#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lentilrack::standins {

/// The deterministic answer of a stand-in engine to a prompt. Token `i` depends
/// only on the prompt and `i`, so that a test can verify that an answer is
/// complete and belongs to its request.
class AnswerText
{
public:
  explicit AnswerText(std::string_view prompt);

  /// Returns the token at `index`, counted from 0: three letters and a space.
  std::string token(std::int64_t index) const;
  /// Returns the concatenated tokens of the range [from, to).
  std::string text(std::int64_t from, std::int64_t to) const;

private:
  std::uint64_t mSeed;
};

/// Returns the number of tokens of the answer: the smaller of N and `maxTokens`
/// if the prompt contains "len=N", otherwise `maxTokens`.
std::int64_t
answerLength(std::string_view prompt, std::int64_t maxTokens);

} // namespace lentilrack::standins
