#include "entry/order_api.h"

#include "entry/request_guard.h"
#include "wire/object_reader.h"

namespace lentilrack::entry {

using core::Outcome;
using core::Verdict;
using wire::Json;

namespace {

constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;

struct OrderBody
{
  std::string id;
  core::Work work;
  std::optional<std::int64_t> deadlineMs;
};

wire::Decoded<OrderBody>
decodeOrder(const std::string& text)
{
  auto json = wire::parseJson(text);
  if (!json) {
    return json.error();
  }
  return wire::decodeWith([&] {
    wire::ObjectReader reader(json.value());
    OrderBody order;
    order.id = reader.required<std::string>("id");
    order.work.type = core::WorkType::Order;
    order.work.kind = reader.required<std::string>("kind");
    order.work.target = reader.required<std::string>("model");
    order.work.prompt = reader.required<std::string>("prompt");
    order.work.maxTokens = reader.integer("max_tokens", 1, kMaxTokens);
    order.work.idempotent = reader.required<bool>("idempotent");
    order.work.prefix = reader.optional<std::string>("prefix", "");
    if (reader.findField("deadline_ms") != nullptr) {
      order.deadlineMs = reader.integer("deadline_ms", 1, kMaxDeadlineMs);
    }
    reader.rejectUnknownFields();
    return order;
  });
}

std::string
toLine(const Json& json)
{
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string
toTokensLine(const core::Chunk& chunk)
{
  Json json{ { "event", "tokens" },
             { "text", chunk.text },
             { "tokens", chunk.tokens },
             { "version", nullptr } };
  if (chunk.version) {
    json["version"] = *chunk.version;
  }
  return toLine(json);
}

std::string
toFinalLine(const Outcome& outcome)
{
  if (outcome.verdict != Verdict::Done || !outcome.reason.empty()) {
    return toLine({ { "event", "failed" },
                    { "verdict", wire::verdictName(outcome.verdict) },
                    { "reason", outcome.reason } });
  }
  auto segments = Json::array();
  for (const auto& segment : outcome.segments) {
    segments.push_back(wire::encode(segment));
  }
  return toLine({ { "event", "done" },
                  { "verdict", "done" },
                  { "total", outcome.totalTokens },
                  { "segments", std::move(segments) } });
}

/// Streams the answer to the caller. A failure before the first token is sent
/// as an error response with its own HTTP status.
net::Awaitable<void>
sendAnswer(net::HttpExchange& exchange,
           std::shared_ptr<AnswerStream> stream,
           const core::Membership& members)
{
  exchange.onClientDisconnect([stream] { stream->close(); });
  auto chunk = co_await stream->next();
  if (stream->isClosed()) {
    co_return;
  }
  if (!chunk && stream->outcome()->verdict != Verdict::Done) {
    auto response = errorResponse(toCallerError(*stream->outcome(), members));
    co_await exchange.respond(std::move(response));
    co_return;
  }
  co_await exchange.beginStream(200, "application/x-ndjson");
  while (chunk) {
    auto text = toTokensLine(*chunk);
    co_await exchange.write(std::move(text));
    chunk = co_await stream->next();
  }
  if (!stream->isClosed()) {
    auto text = toFinalLine(*stream->outcome());
    co_await exchange.write(std::move(text));
    co_await exchange.endStream();
  }
}

net::HttpResponse
badRequest(const std::string& message)
{
  CallerError error;
  error.code = "bad_request";
  error.message = message;
  return errorResponse(error);
}

} // namespace

OrderApi::OrderApi(node::Node& node,
                   std::shared_ptr<Relay> relay,
                   const core::TicketSigner& signer)
  : mNode(node)
  , mRelay(std::move(relay))
  , mSigner(signer)
{
}

void
OrderApi::addRoutes(net::HttpRouter& router)
{
  router.add("POST", "/v1/orders", [this](net::HttpExchange& exchange) {
    return handlePost(exchange);
  });
}

net::Awaitable<void>
OrderApi::handlePost(net::HttpExchange& exchange)
{
  const auto caller = authenticate(mNode, exchange.request());
  if (!caller) {
    auto response = errorResponse(caller.error());
    co_await exchange.respond(std::move(response));
    co_return;
  }
  auto order = decodeOrder(exchange.request().body);
  if (!order) {
    auto response = badRequest(order.error().text());
    co_await exchange.respond(std::move(response));
    co_return;
  }
  auto verified = verifyRequestId(mSigner, order.value().id, caller.value());
  if (!verified) {
    auto response = errorResponse(verified.error());
    co_await exchange.respond(std::move(response));
    co_return;
  }
  auto work = std::move(order.value().work);
  work.principal = caller.value().name;
  // A request without a row is still sent to its home, the instance that issued
  // its ticket. The home may have recorded the outcome before the row was
  // removed.
  const auto* row = mNode.table().table().findRow(work.principal, work.kind);
  const auto remaining =
    timeLimitFor(row != nullptr ? *row : core::Row{}, order.value().deadlineMs);
  const auto stream = mRelay->submit(std::move(verified.value().id),
                                     std::move(verified.value().ticket),
                                     std::move(work),
                                     remaining);
  co_await sendAnswer(exchange, stream, mNode.members());
}

} // namespace lentilrack::entry
