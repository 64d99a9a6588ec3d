// Measures the CPU time and the memory that each kind of state takes at several
// sizes. docs/CAPACITY.md has the slopes, that is, the cost per item. Memory is
// the growth of the heap according to mallinfo2().

#include "core/address_selector.h"
#include "core/attempt_ledger.h"
#include "core/dispatcher_choice.h"
#include "core/membership.h"
#include "core/order_ledger.h"
#include "core/ownership.h"
#include "core/step.h"
#include "wire/messages.h"
#include "wire/table_codec.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <pcg_random.hpp>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

double
heapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

/// Reports the growth of the heap per item. `before` is the heap size in bytes
/// before the items were created.
void
reportBytes(benchmark::State& state, double before)
{
  state.counters["bytes_each"] =
    (heapBytes() - before) / static_cast<double>(state.range(0));
}

/// Returns an order identifier as long as one with a ticket that names eight
/// dispatchers.
std::string
identifier(std::int64_t number)
{
  constexpr std::size_t kTicketLength = 420;
  return std::string(kTicketLength, 'x') + "." + std::to_string(number);
}

Outcome
doneOutcome(std::int64_t tokens)
{
  Outcome outcome;
  outcome.verdict = Verdict::Done;
  outcome.totalTokens = tokens;
  outcome.segments = { { 1, 0, tokens } };
  return outcome;
}

Member
member(std::int64_t number, MemberRole role)
{
  Member m;
  m.id = { "instance-" + std::to_string(number) +
             (role == MemberRole::Entry ? "/entry" : "/dispatch"),
           static_cast<Incarnation>(number) + 1 };
  m.role = role;
  m.failureDomain = "domain-" + std::to_string(number % 10);
  m.link = { "10.0.0.1", static_cast<std::uint16_t>(number) };
  m.http = m.link;
  m.reportNumber = 1;
  m.tableRevision = 1000;
  if (role == MemberRole::Dispatch) {
    m.load["model"] = { 4, 32, 20, 1000, 5000 };
  }
  return m;
}

std::vector<Member>
manyMembers(std::int64_t count, MemberRole role)
{
  std::vector<Member> members;
  for (std::int64_t i = 0; i < count; ++i) {
    members.push_back(member(i, role));
  }
  return members;
}

void
rememberedOrders(benchmark::State& state)
{
  OrderLedgerLimits limits;
  limits.maxOrders = 1'000'000;
  for (auto _ : state) {
    const auto before = heapBytes();
    OrderLedger ledger(limits);
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      const auto id = identifier(i);
      ledger.admit(id, digestOf("body"), kStart + Millis(1'200'000), kStart);
      ledger.beginAttempt(id);
      ledger.finish(id, doneOutcome(20), {});
    }
    reportBytes(state, before);
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(rememberedOrders)->Arg(1000)->Arg(10'000)->Arg(100'000);

void
rememberedAttempts(benchmark::State& state)
{
  for (auto _ : state) {
    const auto before = heapBytes();
    AttemptLedger ledger;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      const AttemptId attempt{ identifier(i), 1 };
      ledger.submit(attempt, false, kStart);
      ledger.start(attempt);
      ledger.finish(attempt, doneOutcome(20), kStart);
    }
    reportBytes(state, before);
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(rememberedAttempts)->Arg(1000)->Arg(10'000)->Arg(100'000);

void
knownMembers(benchmark::State& state)
{
  const auto others = manyMembers(state.range(0), MemberRole::Dispatch);
  for (auto _ : state) {
    const auto before = heapBytes();
    Membership members(member(5000, MemberRole::Entry), {});
    for (const auto& other : others) {
      members.applyHeartbeat(other, kStart);
    }
    reportBytes(state, before);
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(knownMembers)->Arg(14)->Arg(126)->Arg(1260);

/// Measures how long it takes to encode, decode and merge one heartbeat.
void
heartbeat(benchmark::State& state)
{
  Membership members(member(5000, MemberRole::Dispatch), {});
  for (const auto& other : manyMembers(state.range(0), MemberRole::Dispatch)) {
    members.applyHeartbeat(other, kStart);
  }
  // Most heartbeats carry no updates about other members, so that case is
  // measured.
  constexpr std::size_t kUpdates = 0;
  double bytes = 0;
  for (auto _ : state) {
    const auto frame = wire::Json::to_cbor(wire::encode(
      wire::Ping{ members.self(), members.takeUpdates(kUpdates) }));
    bytes = static_cast<double>(frame.size());
    const auto ping =
      wire::decode<wire::Ping>(wire::Json::from_cbor(frame)).value();
    for (const auto& update : ping.updates) {
      benchmark::DoNotOptimize(members.applyReport(update, kStart));
    }
  }
  state.counters["frame_bytes"] = bytes;
}
BENCHMARK(heartbeat)->Arg(14)->Arg(126)->Arg(1260);

void
tableDocument(benchmark::State& state)
{
  Table table;
  table.revision = 1;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    Row row;
    row.principal = "principal-" + std::to_string(i / 4);
    row.kind = "kind-" + std::to_string(i % 4);
    table.principals[row.principal] = {
      row.principal, PrincipalRole::Caller, hashToken(row.principal), 1
    };
    table.rows[{ row.principal, row.kind }] = row;
  }
  double bytes = 0;
  for (auto _ : state) {
    const auto text = wire::encode(table).dump();
    bytes = static_cast<double>(text.size());
    benchmark::DoNotOptimize(wire::decodeTable(wire::Json::parse(text)));
  }
  state.counters["document_bytes"] = bytes;
}
BENCHMARK(tableDocument)->Arg(10)->Arg(100)->Arg(1000);

void
dispatcherChoice(benchmark::State& state)
{
  std::vector<DispatcherCandidate> candidates;
  for (const auto& other : manyMembers(state.range(0), MemberRole::Dispatch)) {
    candidates.push_back({ other.id, other.load.at("model"), {} });
  }
  pcg32 random(1);
  const RandomBelow below = [&](std::uint64_t bound) {
    return random(static_cast<std::uint32_t>(bound));
  };
  for (auto _ : state) {
    benchmark::DoNotOptimize(chooseDispatcher(candidates, "", below));
  }
}
BENCHMARK(dispatcherChoice)->Arg(7)->Arg(63)->Arg(630);

void
ownership(benchmark::State& state)
{
  const auto dispatchers = manyMembers(state.range(0), MemberRole::Dispatch);
  BackendServer server;
  server.failureDomain = "domain-3";
  std::int64_t number = 0;
  for (auto _ : state) {
    server.id = "engine-" + std::to_string(++number);
    benchmark::DoNotOptimize(ownerOf(server, dispatchers));
  }
}
BENCHMARK(ownership)->Arg(7)->Arg(63)->Arg(630);

void
runStep(Step& step, std::int64_t samples)
{
  const std::string text(400, 'x');
  for (std::int64_t i = 0; i < samples; ++i) {
    const auto copy = step.startNext(kStart, 0);
    step.addChunk(copy->id, { text, 100, 1 });
    step.finish(copy->id, doneOutcome(100), kStart, 0.5);
    step.recordScore(copy->id, 1);
  }
}

/// Measures a whole step: opens it, runs and scores its samples one at a time,
/// and pulls them.
void
wholeStep(benchmark::State& state)
{
  constexpr std::int64_t kGroupSize = 8;
  StepSpec spec;
  spec.trainer = "trainer";
  spec.name = "step";
  spec.model = "model";
  spec.kind = "kind";
  spec.groupSize = kGroupSize;
  spec.quorum = kGroupSize;
  spec.maxTokens = 1000;
  spec.prompts.assign(static_cast<std::size_t>(state.range(0) / kGroupSize),
                      "prompt");
  for (auto _ : state) {
    const auto before = heapBytes();
    auto step = Step::open(spec, 1, {}).value();
    step.observeVersion(1);
    runStep(step, state.range(0));
    benchmark::DoNotOptimize(step.pull(1, {}, 1));
    reportBytes(state, before);
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(wholeStep)->Arg(256)->Arg(1024)->Arg(2048);

} // namespace

} // namespace lentilrack::core

BENCHMARK_MAIN();
