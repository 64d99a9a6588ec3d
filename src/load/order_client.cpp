#include "load/order_client.h"

#include "standins/answer_text.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace lentilrack::load {

using net::Awaitable;
using wire::Json;

namespace {

constexpr int kMaxAttempts = 4;
constexpr core::Millis kOrderTimeout{ 70'000 };
constexpr core::Millis kRetryPause{ 100 };

/// Collects the text and the number of tokens of a streamed answer, whose lines
/// are JSON objects.
class AnswerReader
{
public:
  void addData(std::string_view data)
  {
    mPending.append(data);
    std::size_t end = 0;
    while ((end = mPending.find('\n')) != std::string::npos) {
      parseLine(mPending.substr(0, end));
      mPending.erase(0, end + 1);
    }
  }

  /// Returns the line that ends the answer; std::nullopt before it arrives.
  const std::optional<Json>& final() const { return mFinal; }
  const std::string& text() const { return mText; }
  std::int64_t tokens() const { return mTokens; }
  const std::string& incompleteLine() const { return mPending; }

private:
  void parseLine(const std::string& line)
  {
    const auto json = Json::parse(line, nullptr, false);
    if (!json.is_object()) {
      return;
    }
    const auto event = json.value("event", "");
    if (event == "tokens") {
      mText += json.value("text", "");
      mTokens += json.value("tokens", 0);
    } else {
      mFinal = json;
    }
  }

  std::string mPending;
  std::string mText;
  std::int64_t mTokens = 0;
  std::optional<Json> mFinal;
};

core::Verdict
verdictOf(const Json& json)
{
  const auto verdict = json.value("verdict", Json());
  if (verdict == "done") {
    return core::Verdict::Done;
  }
  return verdict == "not_run" ? core::Verdict::NotRun : core::Verdict::Unknown;
}

std::string
reasonOf(const Json& json)
{
  const auto reason = json.value("reason", Json());
  if (reason.is_string() && !reason.get<std::string>().empty()) {
    return reason;
  }
  return json.value("error", "");
}

} // namespace

OrderClient::OrderClient(Context& context, std::string principal)
  : mContext(context)
  , mPrincipal(std::move(principal))
{
}

Awaitable<bool>
OrderClient::refreshAddresses()
{
  std::vector<core::Endpoint> entries = mContext.deployment.entries;
  std::ranges::shuffle(entries, mContext.random);
  for (const auto& entry : entries) {
    const auto result = co_await callJson(
      mContext, entry, "GET", "/v1/addresses", mPrincipal, nullptr);
    if (!result.isSuccess()) {
      continue;
    }
    const auto json = Json::parse(result.response.body, nullptr, false);
    mAddresses.clear();
    for (const auto& item : json.value("addresses", Json::array())) {
      const auto endpoint =
        core::Endpoint::parse(item.at("endpoint").get<std::string>());
      mAddresses.push_back({ endpoint.value_or(core::Endpoint{}),
                             item.value("weight", 1.0),
                             item.at("ticket").get<std::string>(),
                             0 });
    }
    mExpiry = core::Clock::now() + core::Millis(json.value("ttl_ms", 1000));
    if (!mAddresses.empty()) {
      co_return true;
    }
  }
  co_return false;
}

std::size_t
OrderClient::pickAddress()
{
  std::vector<double> weights;
  std::ranges::transform(mAddresses, std::back_inserter(weights), [](auto& a) {
    return std::max(a.weight, 0.0001);
  });
  std::discrete_distribution<std::size_t> choose(weights.begin(),
                                                 weights.end());
  return choose(mContext.random);
}

Awaitable<OrderClient::AttemptOutcome>
OrderClient::attempt(core::Endpoint endpoint,
                     std::string body,
                     OrderResult& result)
{
  net::HttpCall call;
  call.endpoint = std::move(endpoint);
  call.request.method = "POST";
  call.request.target = "/v1/orders";
  call.request.headers = {
    { "Authorization", "Bearer " + mContext.deployment.tokens[mPrincipal] },
    { "Content-Type", "application/json" }
  };
  call.request.body = std::move(body);
  call.timeout = kOrderTimeout;
  AnswerReader reader;
  call.onData = [&reader](std::string_view data) { reader.addData(data); };
  const auto answer = co_await mContext.http.call(std::move(call));
  auto final = reader.final();
  if (!final && !answer.error) {
    const auto json = Json::parse(reader.incompleteLine(), nullptr, false);
    final = json.is_object() ? std::optional(json) : std::nullopt;
  }
  if (!final) {
    result.reason = "no_answer";
    co_return answer.sent ? AttemptOutcome::Broken : AttemptOutcome::NotSent;
  }
  result.verdict = verdictOf(*final);
  result.reason = reasonOf(*final);
  result.tokens = reader.tokens();
  result.isTextCorrect =
    reader.text() ==
    standins::AnswerText(result.prompt).text(0, final->value("total", 0));
  co_return AttemptOutcome::Answered;
}

Awaitable<void>
OrderClient::refreshIfExpired()
{
  while (mRefreshing) {
    co_await net::sleepFor(core::Millis(5));
  }
  if (core::Clock::now() >= mExpiry || mAddresses.empty()) {
    mRefreshing = true;
    co_await refreshAddresses();
    mRefreshing = false;
  }
}

Awaitable<OrderResult>
OrderClient::place(OrderSpec spec)
{
  const auto start = core::Clock::now();
  OrderResult result;
  result.prompt = "len=" + std::to_string(spec.tokens) + " " + mContext.runId +
                  " " + mPrincipal + " " +
                  std::to_string(++mContext.ordersPlaced);
  Json body{ { "kind", spec.kind },
             { "model", spec.model },
             { "prompt", result.prompt },
             { "max_tokens", spec.tokens },
             { "idempotent", spec.idempotent } };
  core::Endpoint endpoint;
  bool isSent = false;
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (!isSent) {
      co_await refreshIfExpired();
      if (mAddresses.empty()) {
        result.verdict = core::Verdict::NotRun;
        result.reason = "no_address";
        break;
      }
      auto& home = mAddresses[pickAddress()];
      body["id"] = home.ticket + "." + std::to_string(++home.sequence);
      endpoint = home.endpoint;
    }
    const auto outcome = co_await attempt(endpoint, body.dump(), result);
    if (outcome == AttemptOutcome::Answered) {
      break;
    }
    if (outcome == AttemptOutcome::NotSent && !isSent) {
      std::erase_if(mAddresses,
                    [&](const auto& a) { return a.endpoint == endpoint; });
      continue;
    }
    // The order may have reached its home, the process that issued its ticket.
    // It keeps its identifier, so that the home recognises a repetition. Any
    // entry can relay it to the home.
    isSent = true;
    co_await net::sleepFor(kRetryPause);
    const auto& entries = mContext.deployment.entries;
    endpoint =
      entries[mContext.random(static_cast<std::uint32_t>(entries.size()))];
  }
  result.millis = millisSince(start);
  co_return result;
}

} // namespace lentilrack::load
