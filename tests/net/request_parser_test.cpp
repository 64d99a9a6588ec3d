#include "net/error.h"
#include "net/request_parser.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace lentilrack::net {

namespace {

constexpr std::uint32_t kHeadLimit = 100'000;
constexpr std::uint64_t kBodyLimit = 1'000;

struct ParsedRequest
{
  std::error_code error;
  bool isComplete = false;
  bool isConnectionReusable = false;
  HttpRequest request;
  std::string rest;

  bool operator==(const ParsedRequest& other) const
  {
    return error == other.error && isComplete == other.isComplete &&
           request.method == other.request.method &&
           request.target == other.request.target &&
           request.headers == other.request.headers &&
           request.body == other.request.body;
  }
};

ParsedRequest
parseInPieces(const std::string& bytes, std::size_t pieceSize)
{
  ParsedRequest parsed;
  RequestParser parser({ kHeadLimit, kBodyLimit });
  for (std::size_t i = 0;
       i < bytes.size() && !parser.error() && !parser.isComplete();
       i += pieceSize) {
    parsed.rest += bytes.substr(i, pieceSize);
    parsed.rest.erase(0, parser.parse(parsed.rest));
  }
  parsed.error = parser.error();
  parsed.isComplete = parser.isComplete();
  parsed.isConnectionReusable = parser.isConnectionReusable();
  if (parsed.isComplete && !parsed.error) {
    parsed.request = parser.takeRequest();
  }
  return parsed;
}

/// Parses the bytes. The result must not depend on how they are split into
/// packets.
ParsedRequest
parse(const std::string& bytes)
{
  auto whole = parseInPieces(bytes, bytes.size());
  for (std::size_t size = 1; size < std::min<std::size_t>(bytes.size(), 40);
       ++size) {
    EXPECT_TRUE(parseInPieces(bytes, size) == whole)
      << "pieces of " << size << " bytes: " << bytes;
  }
  return whole;
}

void
expectRefused(const std::string& bytes)
{
  EXPECT_EQ(parse(bytes).error, NetError::BadMessage) << bytes;
}

HttpRequest
expectRequest(const std::string& bytes)
{
  auto parsed = parse(bytes);
  EXPECT_FALSE(parsed.error) << bytes;
  EXPECT_TRUE(parsed.isComplete) << bytes;
  return std::move(parsed.request);
}

std::string
withHeader(const std::string& line)
{
  return "POST /a HTTP/1.1\r\nHost: a.example\r\n" + line +
         "\r\nContent-Length: 4\r\n\r\nbody";
}

} // namespace

// Guards against a request with a body that the server it is sent on to refuses
// or takes for another request. Building such a request also ended the process.
TEST(RequestParserTest, TraceWithABodyIsRefused)
{
  const std::string head = "TRACE /a HTTP/1.1\r\nHost: a.example\r\n";
  expectRefused(head + "Content-Length: 4\r\n\r\nbody");
  expectRefused(head + "Transfer-Encoding: chunked\r\n\r\n"
                       "4\r\nbody\r\n0\r\n\r\n");
  expectRequest(head + "\r\n");
  expectRequest(head + "Content-Length: 0\r\n\r\n");
}

// Guards against a request that is sent on although its line or its host can be
// read in more than one way.
TEST(RequestParserTest, InvalidRequestLineOrHostIsRefused)
{
  const std::string host = "Host: a.example\r\n\r\n";
  for (const std::string line : { "GET /a#b HTTP/1.1",
                                  "GET /a b HTTP/1.1",
                                  "GET /\xC3\xA9 HTTP/1.1",
                                  "GET /a\x01 HTTP/1.1",
                                  "GET  HTTP/1.1",
                                  "G[T /a HTTP/1.1",
                                  "GET /a HTTP/2.0",
                                  "GET /a HTP/1.1",
                                  " GET /a HTTP/1.1",
                                  "GET /a" }) {
    expectRefused(fmt::format("{}\r\n{}", line, host));
  }
  const std::string line = "GET /a HTTP/1.1\r\n";
  expectRefused(line + "\r\n");
  expectRefused(line + "Host: a.example\r\nHost: b.example\r\n\r\n");
  expectRefused(line + "Host: a.example\r\nhost: a.example\r\n\r\n");
  expectRefused(line + "Host: a example\r\n\r\n");
  expectRefused(line + "Host: a.example/b\r\n\r\n");
  expectRefused(line + "Host: user@a.example\r\n\r\n");
}

// Guards against a header that changes where the next process takes the request
// to end, or that hides another request.
TEST(RequestParserTest, InvalidHeadersAndFramingAreRefused)
{
  using namespace std::string_literals;
  for (const auto& line : { "Bad Name: value"s,
                            "Name : value"s,
                            " Name: value"s,
                            "Na\x01me: value"s,
                            ": value"s,
                            "Name"s,
                            "Name: va\0lue"s,
                            "Name: va\rlue"s,
                            "Name: va\x7Flue"s,
                            "Transfer-Encoding: gzip"s,
                            "Transfer-Encoding: chunked"s,
                            "Transfer-Encoding: identity"s,
                            "Content-Length: 5"s,
                            "Content-Length: +4"s }) {
    expectRefused(withHeader(line));
  }
  std::string many;
  for (int i = 0; i < 1'000; ++i) {
    many += fmt::format("X-{}: 1\r\n", i);
  }
  EXPECT_EQ(parseInPieces(withHeader(many + "X-Last: 1"), 1'000).error,
            NetError::HeadTooLarge);
}

// Guards against refusing requests that are unusual but valid.
TEST(RequestParserTest, UnusualRequestsAreAccepted)
{
  const auto request =
    expectRequest("\r\nM-SEARCH /a%20b?q=[1]&r='x'|{y} HTTP/1.1\r\n"
                  "hOST:A.example:8080\r\n!#$%&'*+-.^_`|~0:\t value \t\r\n"
                  "Empty:\r\nBytes: \xC3\xA9\r\nname: 1\r\nName: 2\r\n"
                  "Transfer-Encoding: Chunked\r\n\r\n"
                  "04;name=\"quoted; text\"\r\nbody\r\n0\r\nX-T: 1\r\n\r\n");
  EXPECT_EQ(request.method, "M-SEARCH");
  EXPECT_EQ(request.target, "/a%20b?q=[1]&r='x'|{y}");
  EXPECT_EQ(request.header("Host"), "A.example:8080");
  EXPECT_EQ(request.header("!#$%&'*+-.^_`|~0"), "value");
  EXPECT_EQ(headerValues(request.headers, "Name").size(), 2U);
  EXPECT_EQ(request.body, "body");
  expectRequest("GET /a HTTP/1.0\r\n\r\n");
  expectRequest("OPTIONS * HTTP/1.1\r\nHost: a.example\r\n\r\n");
  expectRequest("GET http://a.example/b HTTP/1.1\r\nHost: a.example\r\n\r\n");
  expectRequest("GET /a HTTP/1.1\r\nHost: [::1]:80\r\n\r\n");
  expectRequest("GET /a HTTP/1.1\r\nHost:\r\n\r\n");
  expectRequest(withHeader("Content-Length: 004"));
}

// Guards against refusing a header of more than 64 KB, which the HTTP library
// cannot hold, although the limit allows it, and against taking more than the
// limits allow.
TEST(RequestParserTest, LimitsDecideAndNotTheLibrary)
{
  const std::string value(70'000, 'x');
  const auto large =
    parseInPieces(withHeader("X-Large: " + value), std::size_t{ 1'000 });
  EXPECT_FALSE(large.error);
  EXPECT_EQ(large.request.header("X-Large"), value);
  EXPECT_EQ(large.request.body, "body");
  const std::string tooLarge(kHeadLimit, 'x');
  EXPECT_EQ(parseInPieces(withHeader("X-Large: " + tooLarge), 1'000).error,
            NetError::HeadTooLarge);
  const std::string head = "POST /a HTTP/1.1\r\nHost: a.example\r\n";
  EXPECT_EQ(parse(head + "Content-Length: 1001\r\n\r\n").error,
            NetError::BodyTooLarge);
  EXPECT_EQ(parse(head + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n").error,
            NetError::BodyTooLarge);
}

// Guards against losing a request that follows on the same connection, and
// against keeping a connection that the client closes.
TEST(RequestParserTest, NextRequestOnTheConnectionIsLeft)
{
  const std::string next = "GET /next HTTP/1.1\r\n";
  const auto parsed = parse(withHeader("X-A: 1") + next);
  EXPECT_TRUE(parsed.isConnectionReusable);
  EXPECT_EQ(parseInPieces(withHeader("X-A: 1") + next, 1'000).rest, next);
  EXPECT_FALSE(parse(withHeader("Connection: close")).isConnectionReusable);
}

} // namespace lentilrack::net
