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
parseInPieces(const std::string& bytes,
              std::size_t pieceSize,
              const std::string& method = "GET")
{
  ParsedResponse parsed;
  ResponseParser parser(
    method,
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

// Guards against a line that is passed on, or that changes where the body ends,
// although the name of its field holds a blank or a control byte. A line that
// begins with a blank was joined to the field before it.
TEST(ResponseParserTest, FieldNameWithABlankOrAControlByteIsRefused)
{
  for (const std::string line : { "Bad Name: value",
                                  "Name : value",
                                  "Name\t: value",
                                  " Name: value",
                                  "\tName: value",
                                  " Content-Length: 4",
                                  " ",
                                  "Na\x01me: value",
                                  "Na\x7Fme: value",
                                  "\x1B: value",
                                  ": value",
                                  "Name" }) {
    const std::string length = "Content-Length: 4\r\n";
    expectRefused(
      fmt::format("HTTP/1.1 200 OK\r\n{}\r\n{}\r\ndone", line, length));
    expectRefused(
      fmt::format("HTTP/1.1 200 OK\r\n{}{}\r\n\r\ndone", length, line));
    expectRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "4\r\ndone\r\n0\r\nX-Trailer: 1\r\n" +
                  line + "\r\n\r\n");
  }
  using namespace std::string_literals;
  expectRefused("HTTP/1.1 200 OK\r\nNa\0me: value\r\n\r\ndone"s);
  expectRefused("HTTP/1.1 200 OK\r\nName: va\0lue\r\n\r\ndone"s);
  expectRefused("HTTP/1.1 200 OK\r\nName: va\rlue\r\n\r\ndone");
  expectRefused("HTTP/1.1 200 O\x01K\r\nName: value\r\n\r\ndone");
}

// Guards against refusing fields that are unusual but valid, and bodies that
// begin with a blank.
TEST(ResponseParserTest, UnusualFieldsAreAccepted)
{
  expectBody("HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0:\t value \t\r\nEmpty:\r\n"
             "Bytes: \xC3\xA9\r\nname: 1\r\nName: 2\r\n"
             "Content-Length: 5\r\n\r\n done",
             " done");
  expectBody("HTTP/1.0 200 OK\r\n\r\n\tdone\r\n \r\n\r\n",
             "\tdone\r\n \r\n\r\n");
  expectBody("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\n\n \n\r\n0\r\nX-Trailer: 1\r\n\r\n",
             "\n \n");
}

// Guards against a body that is not the server's: these heads do not say where
// it ends, or with which coding it was sent.
TEST(ResponseParserTest, InvalidFramingIsRefused)
{
  const std::string chunks = "\r\n4\r\ndone\r\n0\r\n\r\n";
  for (const std::string headers :
       { "Transfer-Encoding: gzip\r\n",
         "Transfer-Encoding: gzip, chunked\r\n",
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked, gzip\r\n",
         "Transfer-Encoding: chunked, chunked\r\n",
         "Transfer-Encoding: xchunked\r\n",
         "Transfer-Encoding:\r\n",
         "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
         "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
         "Content-Length: 4\r\nContent-Length: 5\r\n",
         "Content-Length: 4, 5\r\n",
         "Content-Length: +4\r\n",
         "Content-Length: -4\r\n",
         "Content-Length: 0x4\r\n",
         "Content-Length:\r\n",
         "Content-Length: 99999999999999999999\r\n" }) {
    expectRefused(fmt::format("HTTP/1.1 200 OK\r\n{}{}", headers, chunks));
  }
  expectRefused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks);
  for (const std::string chunk : { "x\r\n",
                                   "-4\r\ndone",
                                   "+4\r\ndone",
                                   "4 done\r\n",
                                   "4\r\ndone!\r\n" }) {
    expectRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  chunk + "0\r\n\r\n");
  }
}

// Guards against refusing valid ways to mark the end of a body.
TEST(ResponseParserTest, UnusualFramingIsAccepted)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  expectBody(ok + "\r\ndone", "done");
  expectBody(ok + "Content-Length: 4, 4\r\n\r\ndone", "done");
  expectBody(ok + "Content-Length: 4\r\nContent-Length: 004\r\n\r\ndone",
             "done");
  expectBody(ok + "transfer-encoding: Chunked\r\n\r\n0\r\n\r\n", "");
  expectBody(ok + "Transfer-Encoding: chunked\r\n\r\n"
                  "004 ;name;other=\"quoted; text\"\r\ndone\r\n000\r\n\r\n",
             "done");
  expectBody("HTTP/1.0 200 OK\r\n\r\ndone", "done");
}

// Guards against taking the body that follows a response without one for the
// next response.
TEST(ResponseParserTest, ConnectionIsNotReusedAfterAResponseThatAnnouncesABody)
{
  for (const std::string status : { "204", "304" }) {
    const auto head = "HTTP/1.1 " + status + " Status\r\n";
    for (const std::string headers :
         { "", "Content-Length: 0\r\n", "Content-Length: 4\r\n" }) {
      const auto parsed = parse(head + headers + "\r\n");
      EXPECT_TRUE(parsed.isComplete);
      EXPECT_EQ(parsed.response.body, "");
      const bool isReusable =
        status == "304" || headers.find('4') == headers.npos;
      EXPECT_EQ(parsed.isConnectionReusable, isReusable) << head << headers;
    }
  }
}

// Guards against passing on an interim response in place of the response, and
// against refusing a server that sends one unasked.
TEST(ResponseParserTest, InterimResponsesAreSkipped)
{
  const std::string response =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
  expectBody("HTTP/1.1 100 Continue\r\n\r\n" + response, "done");
  expectBody("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
             "HTTP/1.1 102 Processing\r\n\r\n" +
               response,
             "done");
  EXPECT_EQ(parse("HTTP/1.1 100 Continue\r\n\r\n").error,
            NetError::ConnectionLost);
  expectRefused("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" +
                response);
}

// Guards against interim responses without end.
TEST(ResponseParserTest, InterimResponsesAreBounded)
{
  std::string bytes;
  while (bytes.size() <= kMaxUnparsedBytes) {
    bytes += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  EXPECT_EQ(parseInPieces(bytes, bytes.size()).error, NetError::BadMessage);
  EXPECT_EQ(parseInPieces(bytes, 100).error, NetError::BadMessage);
}

// Guards against waiting for a body that does not follow a response to HEAD.
TEST(ResponseParserTest, ResponseToHeadHasNoBody)
{
  const auto parsed =
    parseInPieces("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", 10, "HEAD");
  EXPECT_TRUE(parsed.isComplete);
  EXPECT_TRUE(parsed.isConnectionReusable);
}

} // namespace lentilrack::net
