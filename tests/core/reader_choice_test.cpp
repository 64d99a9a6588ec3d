#include "core/reader_choice.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <set>

namespace lentilrack::core {

namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);

std::vector<std::string>
names(int count)
{
  std::vector<std::string> result;
  for (int i = 0; i < count; ++i) {
    result.push_back(fmt::format("instance-{}", i));
  }
  return result;
}

} // namespace

// Guards against too many processes that read the store themselves (readers),
// since the reads are charged for: at most two processes, or about one in 25 if
// there are many, may be readers, and all processes must choose the same ones.
TEST(ReaderChoiceTest, FewProcessesReadAndTheOthersAgreeOnThem)
{
  for (const int size : { 1, 2, 7, 60, 630 }) {
    std::set<std::string> readers;
    for (const auto& name : names(size)) {
      ReaderChoice choice(name);
      choice.setMembers(names(size));
      readers.insert(choice.readers().begin(), choice.readers().end());
      EXPECT_EQ(choice.isReader(), !choice.source(kNow).has_value());
    }
    EXPECT_LE(readers.size(), std::max<std::size_t>(2, size / 25 + 1));
  }
}

// Guards against a process that keeps asking a reader that does not answer, and
// against one that does not read the store itself when all readers have failed.
TEST(ReaderChoiceTest, FailedReadersAreAvoidedForAWhile)
{
  const auto members = names(10);
  ReaderChoice readerChoice("x");
  readerChoice.setMembers(members);
  const auto readers = readerChoice.readers();
  ASSERT_EQ(readers.size(), 2U);
  const auto first = readerChoice.source(kNow);
  ASSERT_TRUE(first);
  readerChoice.recordFailure(*first, kNow);
  const auto second = readerChoice.source(kNow);
  ASSERT_TRUE(second);
  EXPECT_NE(*first, *second);
  readerChoice.recordFailure(*second, kNow);
  EXPECT_FALSE(readerChoice.source(kNow));
  EXPECT_EQ(readerChoice.source(kNow + ReaderChoice::kFailureAvoidTime), first);
}

} // namespace lentilrack::core
