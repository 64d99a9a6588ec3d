#pragma once

#include "core/membership.h"
#include "core/table_replica.h"
#include "net/http_router.h"
#include "net/log.h"
#include "net/metrics.h"
#include "node/table_editor.h"

#include <functional>
#include <string>

namespace lentilrack::node {
class Node;
} // namespace lentilrack::node

namespace lentilrack::entry {

/// Objects that the administration API uses. Those held by reference must
/// outlive the API.
struct AdminDependencies
{
  net::asio::io_context& io;
  core::ProcessId self;
  core::TableReplica& table;
  core::Membership& members;
  backends::KvClient& kv;
  net::Metrics& metrics;
  net::Logger log;
  /// True if this instance cannot tell whether its table is current; see
  /// Node::isIsolated().
  std::function<bool()> isCutOff;
};

/// HTTP interface for operators, under /admin. Every request needs the token of
/// a principal with the role "operator".
class AdminApi
{
public:
  explicit AdminApi(node::Node& node);
  explicit AdminApi(AdminDependencies dependencies);

  void addRoutes(net::HttpRouter& router);

private:
  /// A request of an authenticated operator.
  struct Request
  {
    net::HttpExchange& exchange;
    std::string operatorName;
  };
  using Handler = net::Awaitable<net::HttpResponse> (AdminApi::*)(Request);

  void add(net::HttpRouter& router,
           const char* method,
           const char* path,
           Handler handler);
  net::Awaitable<void> authorizeAndHandle(net::HttpExchange& exchange,
                                          Handler handler);

  net::Awaitable<net::HttpResponse> showTable(Request request);
  net::Awaitable<net::HttpResponse> showStatus(Request request);
  net::Awaitable<net::HttpResponse> showMembers(Request request);
  net::Awaitable<net::HttpResponse> showInForce(Request request);
  net::Awaitable<net::HttpResponse> showHistory(Request request);
  net::Awaitable<net::HttpResponse> exportRows(Request request);

  net::Awaitable<net::HttpResponse> postEdit(Request request);
  net::Awaitable<net::HttpResponse> importRows(Request request);
  net::Awaitable<net::HttpResponse> runEdit(core::Edit edit,
                                            std::string operatorName);

  AdminDependencies mDependencies;
  node::TableEditor mEditor;
};

} // namespace lentilrack::entry
