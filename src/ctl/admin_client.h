#pragma once

#include "core/endpoint.h"
#include "core/table_edit.h"
#include "net/http_client.h"
#include "wire/object_reader.h"

#include <string>
#include <vector>

namespace lentilrack::ctl {

struct AdminResponse
{
  /// 0 if no instance answered.
  int status = 0;
  std::string body;
  /// The body if it is JSON.
  wire::Json json;
  /// Why no instance answered.
  std::string failure;

  bool isSuccess() const { return status / 100 == 2; }
  /// What went wrong, as a sentence for operators.
  std::string errorText() const;
  /// The "error" field; empty if there is none.
  std::string errorCode() const;
};

/// Talks to the administration API. An instance that does not answer is
/// followed by the next one; edits stay safe, because their identifier is the
/// same on each try.
class AdminClient
{
public:
  AdminClient(net::asio::io_context& io,
              std::vector<core::Endpoint> entries,
              std::string token);

  void setToken(std::string token) { mToken = std::move(token); }

  net::Awaitable<AdminResponse> get(std::string target);
  /// Repeated at the next instance if the answer is lost, and again as long as
  /// the answer is "unknown", a few times.
  net::Awaitable<AdminResponse> post(std::string target, std::string body);
  net::Awaitable<AdminResponse> edit(core::Command command);

private:
  net::Awaitable<AdminResponse> call(net::HttpRequest request);

  net::HttpClient mHttp;
  std::vector<core::Endpoint> mEntries;
  std::string mToken;
};

/// Random identifier of an edit.
std::string
generateEditId();

} // namespace lentilrack::ctl
