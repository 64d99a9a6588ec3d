#include "entry/call_api.h"

#include "core/decimal.h"
#include "entry/request_guard.h"

namespace lentilrack::entry {

using core::Verdict;

namespace {

/// Maximum size, in bytes, of a response body that is passed from a service to
/// the caller.
constexpr std::size_t kMaxAnswerBytes = 16UL * 1024 * 1024;

CallerError
invalidHeader(const std::string& message)
{
  CallerError error;
  error.code = "bad_request";
  error.message = message;
  return error;
}

struct CallHeaders
{
  std::string kind;
  bool idempotent = false;
  std::optional<std::int64_t> deadlineMs;
};

core::Result<CallHeaders, CallerError>
readHeaders(const net::HttpRequest& request)
{
  CallHeaders headers;
  headers.kind = request.header("X-Kind");
  if (headers.kind.empty()) {
    return invalidHeader("the header X-Kind is missing");
  }
  const auto idempotent = request.header("X-Idempotent");
  if (idempotent != "true" && idempotent != "false") {
    return invalidHeader("the header X-Idempotent must be true or false");
  }
  headers.idempotent = idempotent == "true";
  const auto deadline = request.header("X-Deadline-Ms");
  if (!deadline.empty()) {
    const auto value = core::parseDecimal<std::int64_t>(deadline);
    if (!value || *value < 1) {
      return invalidHeader(
        "the header X-Deadline-Ms must be a positive integer");
    }
    headers.deadlineMs = *value;
  }
  return headers;
}

core::Work
toWork(const net::HttpExchange& exchange,
       const CallHeaders& headers,
       const core::Principal& caller)
{
  const auto& request = exchange.request();
  core::Work work;
  work.type = core::WorkType::Call;
  work.principal = caller.name;
  work.kind = headers.kind;
  work.target = exchange.pathParameter("service");
  work.idempotent = headers.idempotent;
  work.call.method = request.method;
  work.call.path = exchange.pathParameter("*");
  const auto query = request.target.find('?');
  if (query != std::string::npos) {
    work.call.path += request.target.substr(query);
  }
  work.call.body = request.body;
  const auto type = request.header("Content-Type");
  if (!type.empty()) {
    work.call.contentType = type;
  }
  return work;
}

net::Awaitable<void>
sendAnswer(net::HttpExchange& exchange,
           std::shared_ptr<AnswerStream> stream,
           const core::Membership& members)
{
  exchange.onClientDisconnect([stream] { stream->close(); });
  net::HttpResponse response;
  for (;;) {
    const auto chunk = co_await stream->next();
    if (!chunk) {
      break;
    }
    response.body += chunk->text;
    if (response.body.size() > kMaxAnswerBytes) {
      break;
    }
  }
  if (stream->isClosed()) {
    co_return;
  }
  if (response.body.size() > kMaxAnswerBytes) {
    core::Outcome tooLarge;
    tooLarge.reason = "answer_too_large";
    response = errorResponse(toCallerError(tooLarge, members));
  } else if (stream->outcome()->verdict == Verdict::Done &&
             stream->outcome()->reason.empty()) {
    response.status = stream->outcome()->httpStatus;
    response.contentType = stream->outcome()->contentType;
  } else {
    response = errorResponse(toCallerError(*stream->outcome(), members));
  }
  co_await exchange.respond(std::move(response));
}

} // namespace

CallApi::CallApi(node::Node& node,
                 std::shared_ptr<Relay> relay,
                 const core::TicketSigner& signer)
  : mNode(node)
  , mRelay(std::move(relay))
  , mSigner(signer)
{
}

void
CallApi::addRoutes(net::HttpRouter& router)
{
  router.add("*", "/v1/calls/:service/*", [this](net::HttpExchange& exchange) {
    return handleCall(exchange);
  });
}

net::Awaitable<void>
CallApi::handleCall(net::HttpExchange& exchange)
{
  const auto& request = exchange.request();
  const auto caller = authenticate(mNode, request);
  if (!caller) {
    auto response = errorResponse(caller.error());
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const auto headers = readHeaders(request);
  if (!headers) {
    auto response = errorResponse(headers.error());
    co_await exchange.respond(std::move(response));
    co_return;
  }
  auto verified =
    verifyRequestId(mSigner, request.header("X-Request-Id"), caller.value());
  if (!verified) {
    auto response = errorResponse(verified.error());
    co_await exchange.respond(std::move(response));
    co_return;
  }
  auto work = toWork(exchange, headers.value(), caller.value());
  const auto* row = mNode.table().table().findRow(work.principal, work.kind);
  const auto remaining = timeLimitFor(row != nullptr ? *row : core::Row{},
                                      headers.value().deadlineMs);
  const auto stream = mRelay->submit(std::move(verified.value().id),
                                     std::move(verified.value().ticket),
                                     std::move(work),
                                     remaining);
  co_await sendAnswer(exchange, stream, mNode.members());
}

} // namespace lentilrack::entry
