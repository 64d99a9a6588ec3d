#include "net/error.h"
#include "net/response_parser.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace lentilrack::net {

namespace {

constexpr std::size_t kBodyLimit = 1'000;

struct ParsedResponse
{
  std::error_code error;
  bool isComplete = false;
  bool isConnectionReusable = false;
  HttpResponse response;

  bool operator==(const ParsedResponse& other) const
  {
    return error == other.error && isComplete == other.isComplete &&
           response.status == other.response.status &&
           response.body == other.response.body;
  }
};

/// Parses the bytes in pieces of this size.
ParsedResponse
parseInPieces(const std::string& bytes, std::size_t pieceSize)
{
  ParsedResponse parsed;
  ResponseParser parser(
    kBodyLimit,
    { [&](HttpResponse head) {
       parsed.response = std::move(head);
       return true;
     },
      [&](std::string_view data) { parsed.response.body.append(data); } });
  std::string buffer;
  for (std::size_t i = 0;
       i < bytes.size() && !parser.error() && !parser.isComplete();
       i += pieceSize) {
    buffer += bytes.substr(i, pieceSize);
    buffer.erase(0, parser.parse(buffer));
  }
  if (!parser.isComplete()) {
    parser.parseEndOfConnection();
  }
  parsed.error = parser.error();
  parsed.isComplete = parser.isComplete();
  parsed.isConnectionReusable = parser.isConnectionReusable();
  return parsed;
}

/// Parses the bytes of a connection that the server then closes. The result
/// must not depend on how the bytes are split into packets.
ParsedResponse
parse(const std::string& bytes)
{
  auto whole = parseInPieces(bytes, bytes.size());
  for (std::size_t size = 1; size < std::min<std::size_t>(bytes.size(), 40);
       ++size) {
    const auto parsed = parseInPieces(bytes, size);
    EXPECT_TRUE(parsed == whole) << "pieces of " << size << " bytes: " << bytes;
  }
  return whole;
}

void
expectRefused(const std::string& bytes)
{
  const auto parsed = parse(bytes);
  EXPECT_EQ(parsed.error, NetError::BadMessage) << bytes;
}

void
expectBody(const std::string& bytes, const std::string& body)
{
  const auto parsed = parse(bytes);
  EXPECT_FALSE(parsed.error) << bytes;
  EXPECT_TRUE(parsed.isComplete) << bytes;
  EXPECT_EQ(parsed.response.body, body) << bytes;
}

} // namespace

// Guards against passing on a response with a status that does not exist.
TEST(ResponseParserTest, InvalidStatusIsRefused)
{
  for (const auto* status :
       { "000", "001", "099", "600", "999", "20", "2000", "-20", "2x0", "" }) {
    expectRefused(
      fmt::format("HTTP/1.1 {} OK\r\nContent-Length: 4\r\n\r\ndone", status));
  }
}

// Guards against refusing a valid status that is not registered, and a response
// without a reason phrase.
TEST(ResponseParserTest, UnusualStatusIsAccepted)
{
  for (const int status : { 200, 207, 299, 418, 499, 520, 599 }) {
    expectBody(
      fmt::format("HTTP/1.1 {} \r\nContent-Length: 4\r\n\r\ndone", status),
      "done");
  }
}

} // namespace lentilrack::net
