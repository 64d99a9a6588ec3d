#include "gateway/result_chunk.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace lentilrack::gateway {

namespace {

using ::testing::ElementsAre;

std::vector<std::size_t>
itemsOf(const std::vector<StoredResult>& results)
{
  std::vector<std::size_t> items;
  std::ranges::transform(
    results, std::back_inserter(items), &StoredResult::item);
  return items;
}

} // namespace

TEST(ResultChunkTest, ChunkRoundTrips)
{
  const auto chunk = encodeChunk({ { 7, R"({"a": 1})" }, { 0, "" } });
  const auto results = decodeChunk(chunk);
  EXPECT_THAT(itemsOf(results), ElementsAre(7, 0));
  EXPECT_EQ(results[0].text, R"({"a": 1})");
  EXPECT_EQ(results[1].text, "");
}

// Guards against returning an incomplete line as a result.
TEST(ResultChunkTest, MalformedLinesAreSkipped)
{
  EXPECT_THAT(itemsOf(decodeChunk("1 a\nx b\n\n2\n3 c")), ElementsAre(1));
}

// Guards against returning results at wrong positions when a result chunk is
// missing.
TEST(ResultChunkTest, ChunksAreJoinedUpToTheFirstGap)
{
  const StoreItem first{ "d/results/0000", encodeChunk({ { 4, "" } }), 1 };
  const StoreItem second{ "d/results/0001",
                          encodeChunk({ { 2, "" }, { 3, "" } }),
                          2 };
  const StoreItem third{ "d/results/0003", encodeChunk({ { 1, "" } }), 3 };
  EXPECT_THAT(itemsOf(joinChunks({ third, first, second })),
              ElementsAre(4, 2, 3, 1));
  EXPECT_THAT(itemsOf(joinChunks({ third, first })), ElementsAre(4));
}

} // namespace lentilrack::gateway
