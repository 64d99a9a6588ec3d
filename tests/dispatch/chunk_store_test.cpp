#include "dispatch/chunk_store.h"

#include "backends/weight_store_client.h"
#include "support/temporary_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>

namespace lentilrack::dispatch {

namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t kLimit = 1000;
const ChunkKey kKey{ "model", 3, 0 };

std::uint64_t
bytesOnDisk(const fs::path& directory)
{
  std::uint64_t bytes = 0;
  for (const auto& entry : fs::directory_iterator(directory)) {
    bytes += entry.file_size();
  }
  return bytes;
}

fs::path
onlyFile(const fs::path& directory)
{
  return fs::directory_iterator(directory)->path();
}

void
writeText(const fs::path& path, const std::string& text)
{
  std::ofstream(path) << text;
}

} // namespace

TEST(ChunkStore, KeepsChunksOverARestart)
{
  const testing::TemporaryDirectory directory;
  {
    ChunkStore store(directory.path(), kLimit);
    ASSERT_TRUE(store.open());
    EXPECT_TRUE(store.write(kKey, "content"));
  }
  ChunkStore store(directory.path(), kLimit);
  ASSERT_TRUE(store.open());
  EXPECT_EQ(store.read(kKey), "content");
  EXPECT_EQ(store.read({ "model", 3, 1 }), std::nullopt);
  EXPECT_EQ(store.read({ "model", 4, 0 }), std::nullopt);
}

// Guards against serving or keeping the temporary file of a write that a crash
// interrupted.
TEST(ChunkStore, RemovesTemporaryFilesOfACrash)
{
  const testing::TemporaryDirectory directory;
  const auto checksum = backends::chunkChecksum("content");
  writeText(directory.path() / ("model@3@0@" + checksum + ".tmp"), "cont");
  ChunkStore store(directory.path(), kLimit);
  ASSERT_TRUE(store.open());
  EXPECT_EQ(store.size(), 0U);
  EXPECT_EQ(store.read(kKey), std::nullopt);
  EXPECT_EQ(bytesOnDisk(directory.path()), 0U);
}

// Guards against serving a file that is shorter than the chunk. A power failure
// can leave such a file, if the rename reached the disk before all of the data.
TEST(ChunkStore, TruncatedChunkIsNotServed)
{
  const testing::TemporaryDirectory directory;
  ChunkStore writer(directory.path(), kLimit);
  ASSERT_TRUE(writer.open());
  ASSERT_TRUE(writer.write(kKey, "content"));
  fs::resize_file(onlyFile(directory.path()), 4);
  EXPECT_EQ(writer.read(kKey), std::nullopt);
  EXPECT_EQ(writer.bytes(), 0U);

  ASSERT_TRUE(writer.write(kKey, "content"));
  fs::resize_file(onlyFile(directory.path()), 4);
  ChunkStore reader(directory.path(), kLimit);
  ASSERT_TRUE(reader.open());
  EXPECT_EQ(reader.read(kKey), std::nullopt);
  EXPECT_EQ(reader.bytes(), 0U);
}

TEST(ChunkStore, DiskUseStaysBoundedByEvictingTheLeastRecentlyUsed)
{
  const testing::TemporaryDirectory directory;
  ChunkStore store(directory.path(), kLimit);
  ASSERT_TRUE(store.open());
  const std::string data(400, 'x');
  EXPECT_TRUE(store.write({ "model", 1, 0 }, data));
  EXPECT_TRUE(store.write({ "model", 1, 1 }, data));
  EXPECT_TRUE(store.read({ "model", 1, 0 }).has_value());
  EXPECT_TRUE(store.write({ "model", 2, 0 }, data));
  EXPECT_LE(bytesOnDisk(directory.path()), kLimit);
  EXPECT_EQ(store.bytes(), bytesOnDisk(directory.path()));
  EXPECT_TRUE(store.read({ "model", 1, 0 }).has_value());
  EXPECT_FALSE(store.read({ "model", 1, 1 }).has_value());
  EXPECT_FALSE(store.write({ "model", 3, 0 }, std::string(1001, 'x')));
}

TEST(ChunkStore, LoweredLimitIsEnforcedOnOpen)
{
  const testing::TemporaryDirectory directory;
  {
    ChunkStore store(directory.path(), kLimit);
    ASSERT_TRUE(store.open());
    store.write({ "model", 1, 0 }, std::string(400, 'x'));
    store.write({ "model", 1, 1 }, std::string(400, 'x'));
  }
  ChunkStore store(directory.path(), 500);
  ASSERT_TRUE(store.open());
  EXPECT_LE(bytesOnDisk(directory.path()), 500U);
}

TEST(ChunkStore, RewritingAChunkCountsItOnce)
{
  const testing::TemporaryDirectory directory;
  ChunkStore store(directory.path(), kLimit);
  ASSERT_TRUE(store.open());
  EXPECT_TRUE(store.write(kKey, std::string(600, 'a')));
  EXPECT_TRUE(store.write(kKey, std::string(700, 'b')));
  EXPECT_EQ(store.bytes(), 700U);
  EXPECT_EQ(store.read(kKey), std::string(700, 'b'));
}

TEST(ChunkStore, UnusableDirectoryIsReported)
{
  const testing::TemporaryDirectory directory;
  writeText(directory.path() / "file", "x");
  ChunkStore store(directory.path() / "file" / "below", kLimit);
  EXPECT_FALSE(store.open());
}

// Guards against model names that would give a path outside the directory.
TEST(ChunkStore, ModelNamesThatAreNotFileNamesAreRefused)
{
  const testing::TemporaryDirectory directory;
  ChunkStore store(directory.path(), kLimit);
  ASSERT_TRUE(store.open());
  for (const std::string name :
       { "", "..", "a/b", "a@b", ".hidden", "a%2Fb" }) {
    EXPECT_FALSE(isCacheableModel(name)) << name;
    EXPECT_FALSE(store.write({ name, 1, 0 }, "x")) << name;
  }
  EXPECT_EQ(bytesOnDisk(directory.path()), 0U);
}

TEST(ChunkStore, NumbersAreParsedStrictly)
{
  EXPECT_EQ(parseNonNegative("12"), 12);
  for (const std::string text :
       { "", "-1", "+1", " 1", "1x", "0x1", "1e3", "99999999999999999999" }) {
    EXPECT_EQ(parseNonNegative(text), std::nullopt) << text;
  }
}

} // namespace lentilrack::dispatch
