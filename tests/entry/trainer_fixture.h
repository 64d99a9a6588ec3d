#pragma once

#include "entry/trainer_api.h"
#include "support/fake_weight_store.h"
#include "support/io_test.h"

#include <deque>
#include <limits>
#include <string>
#include <vector>

namespace lentilrack::entry {

/// An HTTP scorer that returns the length of each text as its score.
class FakeScorer
{
public:
  explicit FakeScorer(net::asio::io_context& io)
    : mServer(io, {}, [this](net::HttpExchange& exchange) {
      return answer(exchange);
    })
  {
    endpoint = mServer.listen({ "127.0.0.1", 0 }).value();
  }

  core::Endpoint endpoint;
  bool isDown = false;
  int calls = 0;
  /// Requests per second that each response states as the limit; 0 for none.
  double statedRate = 0;
  /// A call is refused if one of its samples has this text.
  std::string refusedText = "-";

private:
  net::Awaitable<void> answer(net::HttpExchange& exchange)
  {
    ++calls;
    net::HttpResponse response;
    auto scores = wire::Json::array();
    const auto request = wire::Json::parse(exchange.request().body);
    for (const auto& sample : request.at("samples")) {
      const auto text = sample.at("text").get<std::string>();
      response.status = text == refusedText ? 400 : response.status;
      scores.push_back(text.size());
    }
    response.status = isDown ? 503 : response.status;
    response.body = wire::Json{ { "scores", scores } }.dump();
    if (statedRate > 0) {
      response.headers.emplace_back(backends::kStatedRateHeader,
                                    std::to_string(statedRate));
    }
    co_await exchange.respond(std::move(response));
  }

  net::HttpServer mServer;
};

/// Replaces dispatchers and engines; tests set how rollouts end.
class FakeEngines
{
public:
  struct Failure
  {
    /// Number of tokens that are sent before the failure.
    std::int64_t tokens = 0;
    core::Verdict verdict = core::Verdict::Unknown;
  };

  /// Weight version of the generated tokens.
  std::int64_t version = 1;
  /// Number of tokens of a complete answer.
  std::int64_t length = 4;
  /// While set, rollouts pause after their first token.
  bool isPaused = false;
  /// All rollouts from this number on, counted from 0, pause after their first
  /// token even if `isPaused` is false.
  std::size_t pausedFrom = std::numeric_limits<std::size_t>::max();
  std::deque<Failure> failures;
  std::vector<DispatchCall> calls;
  int running = 0;
  int cancelled = 0;

  net::Awaitable<DispatchResult> run(DispatchCall call)
  {
    const auto number = calls.size();
    calls.push_back(call);
    ++running;
    DispatchResult result;
    result.outcome.verdict = core::Verdict::Done;
    auto end = std::max(length, call.work.offset + 1);
    if (!failures.empty()) {
      end = call.work.offset + failures.front().tokens;
      result.outcome.verdict = failures.front().verdict;
      failures.pop_front();
    }
    for (auto i = call.work.offset; i < end; ++i) {
      const core::Chunk chunk{ "t", 1, version };
      call.onChunk(chunk);
      co_await net::sleepFor(core::Millis(1));
      while ((isPaused || number >= pausedFrom) &&
             !call.cancel->isCancelRequested()) {
        co_await net::sleepFor(core::Millis(1));
      }
      if (call.cancel->isCancelRequested()) {
        ++cancelled;
        result.outcome.verdict = core::Verdict::Unknown;
        result.outcome.reason = "cancelled";
        break;
      }
    }
    result.outcome.totalTokens = end;
    --running;
    co_return result;
  }
};

/// Runs trainer APIs and sends them requests as a trainer.
class TrainerApiTest : public testing::IoTest
{
protected:
  struct HttpReply
  {
    int status = 0;
    wire::Json body;
  };

  /// One entry process.
  struct Home
  {
    Home(net::asio::io_context& io, TrainerApiTest& test)
      : node(io, settings(test))
      , api(node, hooks(test))
      , server(io, {}, [this](net::HttpExchange& exchange) {
        return router.handle(exchange);
      })
    {
      node.table().applyIfNewer(test.table(1, 1));
      api.addRoutes(router);
      endpoint = server.listen({ "127.0.0.1", 0 }).value();
    }

    static node::NodeSettings settings(const TrainerApiTest& test)
    {
      node::NodeSettings settings;
      settings.name = "entry-1";
      settings.failureDomain = "etna";
      settings.linkSecret = "secret";
      settings.weightStore = test.mStore.endpoint;
      return settings;
    }

    static TrainerHooks hooks(TrainerApiTest& test)
    {
      return { [&test](DispatchCall call) {
                return test.mEngines.run(std::move(call));
              },
               [&test] { return test.mServers; } };
    }

    node::Node node;
    TrainerApi api;
    net::HttpRouter router;
    net::HttpServer server;
    core::Endpoint endpoint;
  };

  TrainerApiTest()
  {
    core::BackendServer engine;
    engine.id = "engine-1";
    engine.models = { "model" };
    core::BackendServer scorer;
    scorer.id = "scorer-1";
    scorer.role = core::ServerRole::Scorer;
    scorer.endpoint = mScorer.endpoint;
    mServers = { engine, scorer };
  }

  core::Table table(std::int64_t revision, std::int64_t bound) const
  {
    core::Table table;
    table.revision = revision;
    for (const std::string name : { "trainer", "other" }) {
      table.principals[name] = {
        name, core::PrincipalRole::Trainer, core::hashToken(name + "-token"), 1
      };
      core::Row row;
      row.principal = name;
      row.kind = "draft";
      row.stalenessBound = bound;
      table.rows[{ name, "draft" }] = row;
    }
    table.principals["caller"] = {
      "caller", core::PrincipalRole::Caller, core::hashToken("caller-token"), 1
    };
    return table;
  }

  static wire::Json openBody(std::int64_t opening = 1)
  {
    return { { "step", "s1" },
             { "opening", opening },
             { "model", "model" },
             { "kind", "draft" },
             { "prompts", { "prompt a", "prompt b" } },
             { "group_size", 2 },
             { "quorum", 2 },
             { "max_tokens", 50 },
             { "have", wire::Json::array() },
             { "version", 1 } };
  }

  static wire::Json pullBody(std::int64_t opening,
                             const wire::Json& have,
                             std::int64_t version = 1,
                             std::int64_t waitMs = 10'000)
  {
    return { { "opening", opening },
             { "have", have },
             { "version", version },
             { "wait_ms", waitMs } };
  }

  static wire::Json slotsOf(const wire::Json& pulled)
  {
    auto slots = wire::Json::array();
    for (const auto& sample : pulled.at("samples")) {
      slots.push_back(
        { { "group", sample.at("group") }, { "index", sample.at("index") } });
    }
    return slots;
  }

  net::Awaitable<HttpReply> send(Home& home,
                                 std::string method,
                                 std::string target,
                                 std::string body,
                                 std::string token = "trainer-token")
  {
    net::HttpCall call;
    call.endpoint = home.endpoint;
    call.request.method = std::move(method);
    call.request.target = std::move(target);
    call.request.body = std::move(body);
    if (!token.empty()) {
      call.request.headers.emplace_back("Authorization", "Bearer " + token);
    }
    call.timeout = core::Millis(30'000);
    const auto result = co_await mHttp.call(std::move(call));
    HttpReply answer;
    answer.status = result.response.status;
    answer.body =
      wire::Json::parse(result.response.body, nullptr, /*exceptions*/ false);
    co_return answer;
  }

  net::Awaitable<HttpReply> open(Home& home, wire::Json body)
  {
    return send(home, "POST", "/v1/steps", body.dump());
  }
  net::Awaitable<HttpReply> pull(Home& home, wire::Json body)
  {
    return send(home, "POST", "/v1/steps/s1/pull", body.dump());
  }
  net::Awaitable<HttpReply> ack(Home& home, wire::Json body)
  {
    return send(home, "POST", "/v1/steps/s1/ack", body.dump());
  }

  /// Pulls until a reply has `count` samples. Acknowledges no samples, like a
  /// trainer that gets none of the replies.
  net::Awaitable<HttpReply> pullUntil(Home& home, std::size_t count)
  {
    for (;;) {
      auto body = pullBody(1, wire::Json::array(), 1, 100);
      auto answer = co_await pull(home, std::move(body));
      EXPECT_EQ(answer.status, 200) << answer.body;
      if (answer.status != 200 || answer.body.at("samples").size() == count) {
        co_return answer;
      }
    }
  }

  /// Pulls until the step is complete, and returns all samples in order.
  net::Awaitable<wire::Json> pullAll(Home& home, std::int64_t opening)
  {
    auto samples = wire::Json::array();
    auto have = wire::Json::array();
    for (bool complete = false; !complete;) {
      auto body = pullBody(opening, have);
      const auto answer = co_await pull(home, std::move(body));
      EXPECT_EQ(answer.status, 200) << answer.body;
      if (answer.status != 200) {
        break;
      }
      const auto slots = slotsOf(answer.body);
      have.insert(have.end(), slots.begin(), slots.end());
      const auto& pulled = answer.body.at("samples");
      samples.insert(samples.end(), pulled.begin(), pulled.end());
      complete = answer.body.at("complete").get<bool>();
    }
    co_return samples;
  }

  testing::FakeWeightStore mStore{ mIo };
  FakeScorer mScorer{ mIo };
  FakeEngines mEngines;
  std::vector<core::BackendServer> mServers;
  net::HttpClient mHttp{ mIo };
};

} // namespace lentilrack::entry
