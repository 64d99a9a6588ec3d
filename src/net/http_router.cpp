#include "net/http_router.h"

#include <optional>

namespace lentilrack::net {

namespace {

using Parameters = std::map<std::string, std::string>;

std::vector<std::string>
splitPath(const std::string& path)
{
  std::vector<std::string> segments;
  std::size_t start = 1;
  while (start <= path.size()) {
    const auto end = std::min(path.find('/', start), path.size());
    segments.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return segments;
}

std::string
joinFrom(const std::vector<std::string>& segments, std::size_t first)
{
  std::string text;
  for (std::size_t i = first; i < segments.size(); ++i) {
    text += (i == first ? "" : "/") + segments[i];
  }
  return text;
}

std::optional<Parameters>
matchPath(const std::vector<std::string>& pattern,
          const std::vector<std::string>& path)
{
  Parameters parameters;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == "*") {
      parameters["*"] = joinFrom(path, i);
      return parameters;
    }
    if (i >= path.size()) {
      return std::nullopt;
    }
    if (pattern[i].starts_with(":") && !path[i].empty()) {
      parameters[pattern[i].substr(1)] = path[i];
    } else if (pattern[i] != path[i]) {
      return std::nullopt;
    }
  }
  return pattern.size() == path.size() ? std::optional(parameters)
                                       : std::nullopt;
}

} // namespace

void
HttpRouter::add(std::string method, std::string pattern, HttpHandler handler)
{
  mRoutes.push_back(
    { std::move(method), splitPath(pattern), std::move(handler) });
}

Awaitable<void>
HttpRouter::handle(HttpExchange& exchange) const
{
  const auto path = splitPath(exchange.request().path());
  bool isKnownPath = false;
  for (const auto& route : mRoutes) {
    auto parameters = matchPath(route.segments, path);
    if (!parameters) {
      continue;
    }
    isKnownPath = true;
    if (route.method == "*" || route.method == exchange.request().method) {
      exchange.setPathParameters(std::move(*parameters));
      co_await route.handler(exchange);
      co_return;
    }
  }
  HttpResponse response;
  response.status = isKnownPath ? 405 : 404;
  response.body = isKnownPath ? R"({"error":"method_not_allowed"})"
                              : R"({"error":"unknown_path"})";
  co_await exchange.respond(std::move(response));
}

} // namespace lentilrack::net
