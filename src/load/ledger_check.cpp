#include "load/ledger_check.h"

namespace lentilrack::load {

using wire::Json;

net::Awaitable<RunCounts>
readLedgers(Context& context, std::string model)
{
  RunCounts runs;
  for (const auto& engine : context.deployment.engines(model)) {
    const auto result = co_await callJson(
      context, engine.endpoint, "GET", "/ledger", "", nullptr);
    const auto json = Json::parse(result.response.body, nullptr, false);
    if (!json.is_object()) {
      continue;
    }
    for (const auto& run : json.value("runs", Json::array())) {
      ++runs[run.value("prompt", "")];
    }
  }
  co_return runs;
}

void
LedgerCheck::recordResult(const OrderSpec& spec, const OrderResult& result)
{
  mOrders.push_back({ spec, result });
}

void
LedgerCheck::compare(const RunCounts& runs, Report& report) const
{
  std::int64_t total = 0;
  for (const auto& [spec, result] : mOrders) {
    const auto found = runs.find(result.prompt);
    const auto count = found == runs.end() ? 0 : found->second;
    total += count;
    if (!spec.idempotent && count > 1) {
      report.addViolation("non-idempotent order ran more than once: " +
                          result.prompt);
    }
    if (result.verdict == core::Verdict::NotRun && !spec.idempotent &&
        count > 0) {
      report.addViolation("verdict is not run, but a server ran it: " +
                          result.prompt);
    }
    if (result.verdict == core::Verdict::Done && count == 0) {
      report.addViolation("verdict is done, but no server ran it: " +
                          result.prompt);
    }
    if (result.verdict == core::Verdict::Done &&
        (!result.isTextCorrect || result.tokens != spec.tokens)) {
      report.addViolation("answer is wrong or incomplete (" + result.reason +
                          ", " + std::to_string(result.tokens) +
                          " tokens): " + result.prompt);
    }
  }
  const auto done = static_cast<double>(report.done);
  if (done > 0) {
    report.extraAttemptsRatio =
      std::max(0.0, (static_cast<double>(total) - done) / done);
  }
}

} // namespace lentilrack::load
