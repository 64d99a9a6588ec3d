#include "standins/answer_text.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace lentilrack::standins {

AnswerText::AnswerText(std::string_view prompt)
  : mSeed(XXH64(prompt.data(), prompt.size(), 0))
{
}

std::string
AnswerText::token(std::int64_t index) const
{
  constexpr std::uint64_t kLetters = 26;
  auto hash = XXH64(&index, sizeof(index), mSeed);
  std::string token = "    ";
  for (int i = 0; i < 3; ++i) {
    token[i] = static_cast<char>('a' + hash % kLetters);
    hash /= kLetters;
  }
  return token;
}

std::string
AnswerText::text(std::int64_t from, std::int64_t to) const
{
  std::string text;
  for (auto i = from; i < to; ++i) {
    text += token(i);
  }
  return text;
}

std::int64_t
answerLength(std::string_view prompt, std::int64_t maxTokens)
{
  constexpr std::string_view kMark = "len=";
  const auto mark = prompt.find(kMark);
  if (mark == std::string_view::npos) {
    return maxTokens;
  }
  const auto digits = prompt.substr(mark + kMark.size());
  std::uint32_t length = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), length);
  return error == std::errc{} ? std::min<std::int64_t>(length, maxTokens)
                              : maxTokens;
}

} // namespace lentilrack::standins
