#include "net/request_syntax.h"

#include "net/message_syntax.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <numeric>

namespace lentilrack::net {

namespace {

constexpr unsigned char kFirstVisible = '!';
constexpr unsigned char kLastVisible = '~';

bool
isVisible(unsigned char c)
{
  return c >= kFirstVisible && c <= kLastVisible;
}

std::optional<RequestProblem>
findHeaderProblem(const std::pair<std::string, std::string>& header)
{
  const auto& [name, value] = header;
  if (!isToken(name)) {
    return RequestProblem{ "headers." + name, "the name is not a token" };
  }
  if (!isFieldValue(value)) {
    return RequestProblem{ "headers." + name,
                           "the value has a control character" };
  }
  return std::nullopt;
}

} // namespace

bool
isRequestTarget(std::string_view text)
{
  return !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
    return isVisible(c) && c != '#';
  });
}

bool
isHost(std::string_view text)
{
  constexpr std::string_view kSymbols = "-._~%!$&'()*+,;=:[]";
  return std::ranges::all_of(text, [&](unsigned char c) {
    return isVisible(c) &&
           (std::isalnum(c) != 0 ||
            kSymbols.find(static_cast<char>(c)) != std::string_view::npos);
  });
}

std::optional<RequestProblem>
findBodyProblem(const HttpRequest& request)
{
  // RFC 9110, section 9.3.8.
  return request.method == "TRACE" && !request.body.empty()
           ? std::optional(RequestProblem{ "body", "a TRACE request has none" })
           : std::nullopt;
}

std::optional<RequestProblem>
findProblem(const HttpRequest& request)
{
  if (!isToken(request.method)) {
    return RequestProblem{ "method", "it is not a token" };
  }
  if (!isRequestTarget(request.target)) {
    return RequestProblem{ "target",
                           "it is empty or has a character that must be "
                           "encoded" };
  }
  if (auto problem = findBodyProblem(request)) {
    return problem;
  }
  if (request.headers.size() > kMaxMessageFields) {
    return RequestProblem{
      "headers", fmt::format("there are more than {}", kMaxMessageFields)
    };
  }
  for (const auto& header : request.headers) {
    if (auto problem = findHeaderProblem(header)) {
      return problem;
    }
  }
  const auto hosts = headerValues(request.headers, "Host");
  if (hosts.size() > 1) {
    return RequestProblem{ "headers.Host", "it is repeated" };
  }
  if (!hosts.empty() && !isHost(hosts.front())) {
    return RequestProblem{ "headers.Host", "it is not a host" };
  }
  return std::nullopt;
}

std::size_t
headSize(const HttpRequest& request)
{
  constexpr std::string_view kRequestLine = "  HTTP/1.1\r\n";
  constexpr std::string_view kFieldLine = ": \r\n";
  constexpr std::string_view kEnd = "\r\n";
  const auto start = request.method.size() + request.target.size() +
                     kRequestLine.size() + kEnd.size();
  return std::accumulate(request.headers.begin(),
                         request.headers.end(),
                         start,
                         [&](std::size_t size, const auto& header) {
                           return size + header.first.size() +
                                  header.second.size() + kFieldLine.size();
                         });
}

} // namespace lentilrack::net
