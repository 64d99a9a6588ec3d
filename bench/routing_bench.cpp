#include "core/scheduler.h"

#include <benchmark/benchmark.h>

// Measures one routing decision, that is, the choice of a server for a queued
// request: first alone, and then with the queue and the bookkeeping of the
// scheduler.
namespace {

using namespace lentilrack::core;

const TimePoint kStart{ Millis(1'000'000) };
constexpr std::int64_t kSlots = 8;

std::vector<BackendServer>
serverList(std::int64_t count)
{
  std::vector<BackendServer> list;
  for (std::int64_t i = 0; i < count; ++i) {
    BackendServer server;
    server.id = "engine-" + std::to_string(i);
    server.models = { "m" };
    server.slots = kSlots;
    list.push_back(server);
  }
  return list;
}

/// Servers with `busyPercent` percent of their slots in use. Each has a token
/// rate, a load report and a cached prefix.
struct Fleet
{
  Fleet(std::int64_t count, int busyPercent)
  {
    servers.update(
      serverList(count), [](const auto&) { return true; }, kStart);
    servers.advance(now);
    pcg32 fill(1);
    std::vector<std::string> names;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      const auto id = servers.at(i).server.id;
      names.push_back(id);
      health.started(id, kStart);
      health.progress(id, 1500 + fill(500), now);
      prefixes.recordAssignment(id, "prefix-" + std::to_string(i % 50));
      ServerReport report;
      report.running = 4;
      report.observedAt = now - Millis(1000);
      servers.applyReport(id, report);
      for (std::int64_t slot = 0; slot < kSlots; ++slot) {
        if (fill(100) < static_cast<std::uint32_t>(busyPercent)) {
          servers.started(id, false, now);
        }
      }
    }
    health.compare(names, now);
  }

  ServerView view() const
  {
    return { servers,
             health,
             prefixes,
             [](std::int64_t slots) { return slots * 3 / 4; },
             now };
  }

  ServerSet servers;
  ServerHealth health;
  PrefixIndex prefixes;
  TimePoint now = kStart + Millis(10'000);
};

void
chooseServer(benchmark::State& state)
{
  const Fleet fleet(state.range(0), static_cast<int>(state.range(1)));
  const auto view = fleet.view();
  pcg32 random(42);
  ChoiceRequest request;
  request.target = "m";
  request.tokens = 100;
  request.promptChars = 1000;
  request.prefix = "prefix-7";
  for (auto _ : state) {
    benchmark::DoNotOptimize(chooseBestServer(request, view, random));
  }
}

/// Measures the work of the scheduler for one order, from submit() to
/// finished(), with 80% of all slots in use.
void
wholeDecision(benchmark::State& state)
{
  Scheduler scheduler({}, defaultHooks(), pcg32(42));
  auto now = kStart;
  scheduler.servers().update(
    serverList(state.range(0)), [](const auto&) { return true; }, now);
  now += Millis(10'000);
  scheduler.advance(now);
  std::uint64_t number = 0;
  const auto submit = [&] {
    Submission made;
    made.attempt = { std::to_string(++number), 1 };
    made.work.principal = "caller";
    made.work.kind = "k";
    made.work.target = "m";
    made.work.maxTokens = 100;
    made.work.prefix = "prefix-" + std::to_string(number % 50);
    made.row.principal = "caller";
    made.row.kind = "k";
    made.deadline = now + Millis(30'000);
    return std::get<JobId>(scheduler.submit(std::move(made), now));
  };
  for (std::int64_t i = 0; i < state.range(0) * kSlots * 8 / 10; ++i) {
    submit();
    scheduler.next(now);
  }
  Outcome done;
  done.verdict = Verdict::Done;
  for (auto _ : state) {
    now += std::chrono::microseconds(100);
    const auto id = submit();
    scheduler.next(now);
    scheduler.begin(id, now);
    scheduler.progress(id, { "", 100, 1 }, now);
    scheduler.finished(id, done, now);
  }
}

} // namespace

BENCHMARK(chooseServer)
  ->ArgNames({ "servers", "busy" })
  ->ArgsProduct({ { 10, 100, 1000, 2400 }, { 50, 80, 99 } });
BENCHMARK(wholeDecision)
  ->ArgName("servers")
  ->Arg(10)
  ->Arg(100)
  ->Arg(1000)
  ->Arg(2400);

BENCHMARK_MAIN();
