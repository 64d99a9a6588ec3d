#include "load/trainer_client.h"

#include "standins/answer_text.h"

#include <algorithm>

namespace lentilrack::load {

using net::Awaitable;
using wire::Json;

namespace {

constexpr core::Millis kPullWait{ 200 };
constexpr core::Millis kRetryPause{ 200 };
constexpr int kMaxFailures = 50;

std::string
promptOf(const StepSpec& spec, std::size_t group)
{
  return "len=" + std::to_string(spec.lengths[group]) + " " + spec.name + " " +
         std::to_string(group);
}

} // namespace

TrainerClient::TrainerClient(Context& context,
                             Report& report,
                             std::string principal)
  : mContext(context)
  , mReport(report)
  , mPrincipal(std::move(principal))
{
}

Json
TrainerClient::receivedSamples() const
{
  Json have = Json::array();
  for (const auto& [group, index] : mReceivedSamples) {
    have.push_back({ { "group", group }, { "index", index } });
  }
  return have;
}

Awaitable<bool>
TrainerClient::open(const StepSpec& spec)
{
  Json prompts = Json::array();
  for (std::size_t i = 0; i < spec.lengths.size(); ++i) {
    prompts.push_back(promptOf(spec, i));
  }
  const auto longest = std::ranges::max(spec.lengths);
  Json body{ { "step", spec.name },
             { "opening", ++mOpening },
             { "model", spec.model },
             { "kind", spec.kind },
             { "prompts", std::move(prompts) },
             { "group_size", spec.groupSize },
             { "quorum", spec.quorum },
             { "max_tokens", longest },
             { "have", receivedSamples() },
             { "version", mRequestedVersion } };
  const auto& entries = mContext.deployment.entries;
  mHome = entries[mContext.random(static_cast<std::uint32_t>(entries.size()))];
  const auto result = co_await callJson(
    mContext, mHome, "POST", "/v1/steps", mPrincipal, std::move(body));
  co_return result.isSuccess();
}

Awaitable<std::optional<Json>>
TrainerClient::pull(const StepSpec& spec, std::int64_t version)
{
  Json body{ { "opening", mOpening },
             { "have", receivedSamples() },
             { "version", version },
             { "wait_ms", kPullWait.count() } };
  const auto result = co_await callJson(mContext,
                                        mHome,
                                        "POST",
                                        "/v1/steps/" + spec.name + "/pull",
                                        mPrincipal,
                                        std::move(body));
  const auto json = Json::parse(result.response.body, nullptr, false);
  if (!result.isSuccess() || !json.is_object()) {
    co_return std::nullopt;
  }
  co_return json;
}

void
TrainerClient::check(const StepSpec& spec,
                     const Json& sample,
                     std::int64_t version)
{
  const SampleKey key{ sample.at("group"), sample.at("index") };
  const auto name = spec.name + " " + std::to_string(key.first) + "/" +
                    std::to_string(key.second);
  if (!mReceivedSamples.insert(key).second) {
    mReport.addViolation("sample delivered twice: " + name);
  }
  const auto group = static_cast<std::size_t>(key.first);
  const std::int64_t tokens = sample.at("tokens");
  if (sample.at("text") != standins::AnswerText(promptOf(spec, group))
                             .text(0, spec.lengths[group])) {
    mReport.addViolation("sample text is wrong or incomplete: " + name);
  }
  std::int64_t covered = 0;
  for (const auto& segment : sample.at("segments")) {
    const std::int64_t used = segment.at("version");
    if (segment.at("from") != covered || !mAnnouncedVersions.contains(used)) {
      mReport.addViolation("segments have a gap or an unannounced version: " +
                           name);
    }
    covered = segment.at("to");
    const auto age = version - used;
    mReport.stalenessMax = std::max(mReport.stalenessMax, age);
    if (age > mReport.stalenessBound) {
      mReport.addViolation("stale sample: " + name);
    }
  }
  if (covered != tokens) {
    mReport.addViolation("segments do not cover the sample: " + name);
  }
}

Awaitable<StepResult>
TrainerClient::run(StepSpec spec)
{
  const auto start = core::Clock::now();
  StepResult result;
  mReceivedSamples.clear();
  int failures = 0;
  bool isOpen = false;
  while (!result.isComplete && failures < kMaxFailures) {
    if (!isOpen) {
      isOpen = co_await open(spec);
    }
    if (!isOpen) {
      ++failures;
      co_await net::sleepFor(kRetryPause);
      continue;
    }
    const auto pullStart = core::Clock::now();
    // The staleness of samples is measured against the version that the pull
    // requested, even if setRequestedVersion() is called before the reply.
    const auto version = mRequestedVersion;
    const auto reply = co_await pull(spec, version);
    result.idleMillis += millisSince(pullStart);
    if (!reply) {
      ++failures;
      isOpen = false;
      continue;
    }
    const auto samples = reply->value("samples", Json::array());
    for (const auto& sample : samples) {
      check(spec, sample, version);
      result.tokens += sample.at("tokens").get<std::int64_t>();
    }
    result.samples += static_cast<std::int64_t>(samples.size());
    co_await net::sleepFor(spec.workPerSample *
                           static_cast<int>(samples.size()));
    result.isComplete = reply->value("complete", false);
  }
  Json have{ { "opening", mOpening }, { "have", receivedSamples() } };
  co_await callJson(mContext,
                    mHome,
                    "POST",
                    "/v1/steps/" + spec.name + "/ack",
                    mPrincipal,
                    std::move(have));
  co_await callJson(
    mContext, mHome, "DELETE", "/v1/steps/" + spec.name, mPrincipal, nullptr);
  result.millis = millisSince(start);
  co_return result;
}

} // namespace lentilrack::load
