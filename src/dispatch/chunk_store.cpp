#include "dispatch/chunk_store.h"

#include "backends/weight_store_client.h"
#include "core/decimal.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <vector>

namespace lentilrack::dispatch {

namespace fs = std::filesystem;

namespace {

// Separates the parts of a file name. Names of cacheable models cannot contain
// this character.
constexpr char kSeparator = '@';
constexpr const char* kTemporarySuffix = ".tmp";
constexpr std::size_t kFileNameParts = 4;
constexpr std::size_t kMaxModelNameLength = 128;
constexpr std::size_t kChecksumDigits = 16;

bool
isNameCharacter(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-' || c == '~';
}

bool
isChecksum(const std::string& text)
{
  return text.size() == kChecksumDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::string
fileName(const ChunkKey& key, const std::string& checksum)
{
  std::ostringstream name;
  name << key.model << kSeparator << key.version << kSeparator << key.number
       << kSeparator << checksum;
  return name.str();
}

struct ParsedFileName
{
  ChunkKey key;
  std::string checksum;
};

std::optional<ParsedFileName>
parseFileName(const std::string& name)
{
  std::vector<std::string> parts;
  std::istringstream stream(name);
  for (std::string part; std::getline(stream, part, kSeparator);) {
    parts.push_back(part);
  }
  if (parts.size() != kFileNameParts || !isCacheableModel(parts[0]) ||
      !isChecksum(parts[3])) {
    return std::nullopt;
  }
  const auto version = parseNonNegative(parts[1]);
  const auto number = parseNonNegative(parts[2]);
  if (!version || !number) {
    return std::nullopt;
  }
  return ParsedFileName{ { parts[0], *version, *number }, parts[3] };
}

std::optional<std::string>
readFile(const fs::path& path)
{
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream data;
  data << file.rdbuf();
  return std::move(data).str();
}

bool
writeFile(const fs::path& path, const std::string& data)
{
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file.write(data.data(), static_cast<std::streamsize>(data.size()));
  file.close();
  return file.good();
}

} // namespace

std::optional<std::int64_t>
parseNonNegative(const std::string& text)
{
  const auto value = core::parseDecimal<std::int64_t>(text);
  return value && *value >= 0 ? value : std::nullopt;
}

bool
isCacheableModel(const std::string& model)
{
  return !model.empty() && model.size() <= kMaxModelNameLength &&
         model.front() != '.' && std::ranges::all_of(model, isNameCharacter);
}

ChunkStore::ChunkStore(fs::path directory, std::uint64_t limit)
  : mDirectory(std::move(directory))
  , mSizeLimit(limit)
{
}

bool
ChunkStore::open()
{
  std::error_code error;
  fs::create_directories(mDirectory, error);
  if (error) {
    return false;
  }
  std::vector<std::pair<fs::file_time_type, fs::path>> files;
  for (fs::directory_iterator entry(mDirectory, error), end;
       !error && entry != end;
       entry.increment(error)) {
    const auto path = entry->path();
    std::error_code ignored;
    if (!parseFileName(path.filename().string())) {
      if (path.extension() == kTemporarySuffix) {
        fs::remove(path, ignored);
      }
      continue;
    }
    files.emplace_back(fs::last_write_time(path, ignored), path);
  }
  std::ranges::sort(files);
  for (const auto& [time, path] : files) {
    std::error_code ignored;
    const auto size = fs::file_size(path, ignored);
    const auto parsed = parseFileName(path.filename().string());
    if (ignored || mChunks.contains(parsed->key)) {
      fs::remove(path, ignored);
      continue;
    }
    addEntry(parsed->key, path, size, parsed->checksum);
  }
  // The stored chunks exceed the limit if it was lowered since the last start.
  while (mBytes > mSizeLimit) {
    remove(mLruOrder.front());
  }
  return !error;
}

void
ChunkStore::addEntry(const ChunkKey& key,
                     fs::path path,
                     std::uint64_t bytes,
                     std::string checksum)
{
  mLruOrder.push_back(key);
  mChunks[key] = {
    std::move(path), bytes, std::move(checksum), std::prev(mLruOrder.end())
  };
  mBytes += bytes;
}

void
ChunkStore::remove(const ChunkKey& key)
{
  const auto found = mChunks.find(key);
  if (found == mChunks.end()) {
    return;
  }
  std::error_code ignored;
  fs::remove(found->second.path, ignored);
  mBytes -= found->second.bytes;
  mLruOrder.erase(found->second.lruPosition);
  mChunks.erase(found);
}

std::optional<std::string>
ChunkStore::read(const ChunkKey& key)
{
  const auto found = mChunks.find(key);
  if (found == mChunks.end()) {
    return std::nullopt;
  }
  auto data = readFile(found->second.path);
  if (!data || backends::chunkChecksum(*data) != found->second.checksum) {
    remove(ChunkKey(key));
    return std::nullopt;
  }
  mLruOrder.splice(mLruOrder.end(), mLruOrder, found->second.lruPosition);
  return data;
}

bool
ChunkStore::write(const ChunkKey& key, const std::string& data)
{
  if (data.size() > mSizeLimit || !isCacheableModel(key.model)) {
    return false;
  }
  remove(key);
  while (mBytes + data.size() > mSizeLimit) {
    remove(ChunkKey(mLruOrder.front()));
  }
  const auto checksum = backends::chunkChecksum(data);
  const auto path = mDirectory / fileName(key, checksum);
  auto temporary = path;
  temporary += kTemporarySuffix;
  std::error_code error;
  if (writeFile(temporary, data)) {
    fs::rename(temporary, path, error);
  } else {
    error = std::make_error_code(std::errc::io_error);
  }
  if (error) {
    std::error_code ignored;
    fs::remove(temporary, ignored);
    return false;
  }
  addEntry(key, path, data.size(), checksum);
  return true;
}

} // namespace lentilrack::dispatch
