#include "ctl/admin_client.h"

#include "ctl/random_token.h"
#include "wire/edit_codec.h"

#include <fmt/format.h>

namespace lentilrack::ctl {

namespace {

/// Time-out of one call. An edit takes up to 5 s of backoff delays plus several
/// calls to the key-value service, which may be slow.
constexpr core::Millis kCallTimeout{ 20'000 };
constexpr int kUnknownRetries = 3;
constexpr core::Millis kUnknownRetryDelay{ 1000 };
constexpr std::size_t kEditIdBytes = 12;

} // namespace

std::string
AdminResponse::errorText() const
{
  if (status == 0) {
    return "no entry instance answered: " + failure;
  }
  if (json.is_object() && json.contains("message")) {
    return fmt::format(
      "{}: {}", errorCode(), json.at("message").get<std::string>());
  }
  return fmt::format("the entry instance answered with status {}", status);
}

std::string
AdminResponse::errorCode() const
{
  return json.is_object() ? json.value("error", "") : "";
}

AdminClient::AdminClient(net::asio::io_context& io,
                         std::vector<core::Endpoint> entries,
                         std::string token)
  : mHttp(io)
  , mEntries(std::move(entries))
  , mToken(std::move(token))
{
}

net::Awaitable<AdminResponse>
AdminClient::get(std::string target)
{
  net::HttpRequest request;
  request.target = std::move(target);
  co_return co_await call(std::move(request));
}

net::Awaitable<AdminResponse>
AdminClient::post(std::string target, std::string body)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = std::move(target);
  request.body = std::move(body);
  AdminResponse answer;
  for (int i = 0; i <= kUnknownRetries; ++i) {
    if (i > 0) {
      co_await net::sleepFor(kUnknownRetryDelay);
    }
    answer = co_await call(request);
    if (answer.errorCode() != "unknown") {
      break;
    }
  }
  co_return answer;
}

net::Awaitable<AdminResponse>
AdminClient::edit(core::Command command)
{
  const core::Edit edit{ generateEditId(), std::move(command) };
  auto body = wire::encode(edit).dump();
  co_return co_await post("/admin/edits", std::move(body));
}

net::Awaitable<AdminResponse>
AdminClient::call(net::HttpRequest request)
{
  request.headers = { { "Authorization", "Bearer " + mToken } };
  AdminResponse answer;
  for (const auto& entry : mEntries) {
    net::HttpCall httpCall;
    httpCall.endpoint = entry;
    httpCall.request = request;
    httpCall.timeout = kCallTimeout;
    const auto result = co_await mHttp.call(std::move(httpCall));
    if (result.error) {
      answer.failure += fmt::format("{}{}: {}",
                                    answer.failure.empty() ? "" : "; ",
                                    entry.text(),
                                    result.error.message());
      continue;
    }
    answer.status = result.response.status;
    answer.body = result.response.body;
    answer.json = wire::Json::parse(answer.body, nullptr, false);
    break;
  }
  co_return answer;
}

std::string
generateEditId()
{
  return randomBase64Url(kEditIdBytes);
}

} // namespace lentilrack::ctl
