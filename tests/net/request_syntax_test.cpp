#include "net/request_syntax.h"

#include <gtest/gtest.h>

namespace lentilrack::net {

// Guards against estimates of the size of a head that differ from what is sent.
TEST(RequestSyntaxTest, HeadSizeCountsEachByte)
{
  const HttpRequest request{ "GET", "/a", { { "Host", "b" } }, "" };
  EXPECT_EQ(headSize(request),
            std::string("GET /a HTTP/1.1\r\nHost: b\r\n\r\n").size());
}

// Guards against a refusal that does not name what is wrong.
TEST(RequestSyntaxTest, ProblemNamesTheField)
{
  const HttpRequest valid{ "GET", "/a", { { "Host", "b" } }, "" };
  EXPECT_FALSE(findProblem(valid));
  const auto fieldOf = [&](auto change) {
    auto request = valid;
    change(request);
    const auto problem = findProblem(request);
    return problem ? problem->field : "";
  };
  EXPECT_EQ(fieldOf([](auto& request) { request.method = "G T"; }), "method");
  EXPECT_EQ(fieldOf([](auto& request) { request.method = ""; }), "method");
  EXPECT_EQ(fieldOf([](auto& request) { request.target = "/a\r\n"; }),
            "target");
  EXPECT_EQ(fieldOf([](auto& request) {
              request.headers.emplace_back("X-Note", "a\r\nX-B: c");
            }),
            "headers.X-Note");
  EXPECT_EQ(fieldOf([](auto& request) {
              request.headers.emplace_back("X-A: 1\r\nX-B", "c");
            }),
            "headers.X-A: 1\r\nX-B");
  EXPECT_EQ(fieldOf([](auto& request) { request.headers[0].second = "a/b"; }),
            "headers.Host");
}

} // namespace lentilrack::net
