#include "core/recent_answers.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

// Guards against returning the answer of another request, and against replacing
// the stored answer of a request by a later one.
TEST(RecentAnswersTest, FindsTheFirstAnswerStored)
{
  RecentAnswers answers;
  answers.store("a", { { "one ", 1, 7 }, { "two ", 1, 8 } });
  answers.store("a", { { "other", 1, 9 } });
  ASSERT_NE(answers.find("a"), nullptr);
  ASSERT_EQ(answers.find("a")->size(), 2U);
  EXPECT_EQ(answers.find("a")->at(1).text, "two ");
  EXPECT_EQ(answers.find("b"), nullptr);
}

// Guards against memory use that grows with the number or the size of answers.
TEST(RecentAnswersTest, OldestAnswersAreEvictedFirst)
{
  RecentAnswers answers({ 2, 1000 });
  answers.store("a", { { "x", 1, 1 } });
  answers.store("b", { { "x", 1, 1 } });
  answers.store("c", { { "x", 1, 1 } });
  EXPECT_EQ(answers.find("a"), nullptr);
  EXPECT_NE(answers.find("c"), nullptr);
  answers.store("large", { { std::string(2000, 'x'), 1, 1 } });
  EXPECT_EQ(answers.find("large"), nullptr);
  EXPECT_NE(answers.find("c"), nullptr);
  answers.store("d", { { std::string(800, 'x'), 1, 1 } });
  EXPECT_EQ(answers.find("b"), nullptr);
  EXPECT_NE(answers.find("d"), nullptr);
}

} // namespace lentilrack::core
