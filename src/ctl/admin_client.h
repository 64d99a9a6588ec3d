#pragma once

#include "core/endpoint.h"
#include "core/table_edit.h"
#include "net/http_client.h"
#include "wire/object_reader.h"

#include <string>
#include <vector>

namespace lentilrack::ctl {

/// Response of the administration API, or connection errors if there is none.
struct AdminResponse
{
  /// HTTP status; 0 if no instance responded.
  int status = 0;
  std::string body;
  /// The parsed body; a discarded value if the body is not valid JSON.
  wire::Json json;
  /// Connection errors of the instances that did not respond.
  std::string failure;

  /// Returns true if the status is 2xx.
  bool isSuccess() const { return status / 100 == 2; }
  /// Returns a description of the error for operators.
  std::string errorText() const;
  /// Returns the "error" field of the body; empty if there is none.
  std::string errorCode() const;
};

/// Client of the administration API. If an instance does not respond, the next
/// one is tried. Repeating an edit is safe, because every attempt has the same
/// edit identifier.
class AdminClient
{
public:
  AdminClient(net::asio::io_context& io,
              std::vector<core::Endpoint> entries,
              std::string token);

  void setToken(std::string token) { mToken = std::move(token); }

  net::Awaitable<AdminResponse> get(std::string target);
  /// Sends a POST request. Repeats it at the next instance if the response is
  /// lost, and a few times if the outcome is "unknown".
  net::Awaitable<AdminResponse> post(std::string target, std::string body);
  net::Awaitable<AdminResponse> edit(core::Command command);

private:
  net::Awaitable<AdminResponse> call(net::HttpRequest request);

  net::HttpClient mHttp;
  std::vector<core::Endpoint> mEntries;
  std::string mToken;
};

/// Returns an edit identifier of 12 random bytes, encoded as base64url.
std::string
generateEditId();

} // namespace lentilrack::ctl
