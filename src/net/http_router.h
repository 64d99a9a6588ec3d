#pragma once

#include "net/http_server.h"

#include <string>
#include <vector>

namespace lentilrack::net {

/// Dispatches requests to handlers by method and path.
class HttpRouter
{
public:
  /// Adds a route. In `pattern`, a segment ":name" matches any segment and
  /// becomes the path parameter "name"; "*" at the end matches the rest of the
  /// path and becomes the parameter "*". Method "*" matches every method.
  void add(std::string method, std::string pattern, HttpHandler handler);

  /// Calls the handler of the first matching route. Responds with 404 to an
  /// unknown path and with 405 if the path has no route for the method.
  Awaitable<void> handle(HttpExchange& exchange) const;

private:
  struct Route
  {
    std::string method;
    std::vector<std::string> segments;
    HttpHandler handler;
  };

  std::vector<Route> mRoutes;
};

} // namespace lentilrack::net
