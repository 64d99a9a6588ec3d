#include "backends/engine_client.h"
#include "backends/engine_fixture.h"
#include "net/error.h"
#include "standins/answer_text.h"

namespace lentilrack::backends {

namespace {

using core::Segment;

class EngineClientTest : public EngineTest
{};

std::string
expectedText(const std::string& prompt, std::int64_t from, std::int64_t to)
{
  return standins::AnswerText(prompt).text(from, to);
}

} // namespace

TEST_F(EngineClientTest, CompleteAnswerIsDone)
{
  run([&]() -> Awaitable<void> {
    const auto outcome = co_await generate(call("r#1", "describe len=300"));
    EXPECT_EQ(outcome.verdict, Verdict::Done);
    EXPECT_EQ(outcome.totalTokens, 300);
    EXPECT_EQ(outcome.segments, (std::vector<Segment>{ { 1, 0, 300 } }));
    EXPECT_EQ(mReceivedText, expectedText("describe len=300", 0, 300));
    EXPECT_TRUE(mEngine.runs().at(0).finished);
  });
}

TEST_F(EngineClientTest, ResumesAfterTheOffset)
{
  run([&]() -> Awaitable<void> {
    auto resumedCall = call("r#2", "describe len=300");
    resumedCall.request.offset = 120;
    const auto outcome = co_await generate(std::move(resumedCall));
    EXPECT_EQ(outcome.verdict, Verdict::Done);
    EXPECT_EQ(outcome.totalTokens, 300);
    EXPECT_EQ(outcome.segments, (std::vector<Segment>{ { 1, 120, 300 } }));
    EXPECT_EQ(mReceivedText, expectedText("describe len=300", 120, 300));
    EXPECT_EQ(mEngine.runs().at(0).tokens, 180);
  });
}

// Guards against reporting Done when the engine's answer is truncated.
TEST_F(EngineClientTest, AnswerThatEndsEarlyIsUnknown)
{
  run([&]() -> Awaitable<void> {
    co_await control(mEngine.server(), R"({"cut_after_tokens":50})");
    const auto outcome = co_await generate(call("r#1", "len=300"));
    EXPECT_EQ(outcome.verdict, Verdict::Unknown);
    EXPECT_EQ(outcome.reason, "interrupted");
    EXPECT_EQ(mReceivedText, expectedText("len=300", 0, 50));
    EXPECT_FALSE(mEngine.runs().at(0).finished);
    EXPECT_EQ(mEngine.runs().at(0).tokens, 50);
  });
}

// Guards against reporting a request as not run when the engine ran it and only
// the response was lost.
TEST_F(EngineClientTest, LostResponseOfACompletedRunIsUnknown)
{
  run([&]() -> Awaitable<void> {
    co_await control(mEngine.server(), R"({"lose_replies":1})");
    const auto outcome = co_await generate(call("r#1", "len=20"));
    EXPECT_EQ(outcome.verdict, Verdict::Unknown);
    EXPECT_EQ(outcome.reason, "interrupted");
    EXPECT_TRUE(mEngine.runs().at(0).finished);
    EXPECT_EQ(mEngine.runs().at(0).tokens, 20);
  });
}

// Guards against reporting Unknown when no byte of the request was written.
TEST_F(EngineClientTest, NothingWrittenIsNotRun)
{
  const auto closed = closedEndpoint();
  run([&]() -> Awaitable<void> {
    const auto refused =
      co_await mEngineClient.generate(closed, call("r#1", "x"));
    EXPECT_EQ(refused.verdict, Verdict::NotRun);
    EXPECT_EQ(refused.reason, "connection_refused");

    auto late = call("r#2", "x");
    late.beforeFirstByte = [] { return false; };
    const auto expired = co_await generate(std::move(late));
    EXPECT_EQ(expired.verdict, Verdict::NotRun);
    EXPECT_EQ(expired.reason, "deadline");

    auto toCancel = call("r#3", "x");
    toCancel.cancel = std::make_shared<net::CancelSignal>();
    toCancel.cancel->cancel();
    const auto cancelled = co_await generate(std::move(toCancel));
    EXPECT_EQ(cancelled.verdict, Verdict::NotRun);
    EXPECT_EQ(cancelled.reason, "cancelled");
    EXPECT_TRUE(mEngine.runs().empty());
  });
}

// Guards against reporting a request as not run when the engine read it and
// then closed the connection.
TEST_F(EngineClientTest, DroppedRequestIsUnknown)
{
  run([&]() -> Awaitable<void> {
    co_await control(mEngine.server(), R"({"down":true})");
    const auto outcome = co_await generate(call("r#1", "x"));
    EXPECT_EQ(outcome.verdict, Verdict::Unknown);
    EXPECT_EQ(outcome.reason, "interrupted");
  });
}

TEST_F(EngineClientTest, TimeoutIsUnknown)
{
  run([&]() -> Awaitable<void> {
    co_await control(mEngine.server(), R"({"slow_factor":1000000})");
    auto slow = call("r#1", "len=20");
    slow.timeout = Millis(100);
    const auto outcome = co_await generate(std::move(slow));
    EXPECT_EQ(outcome.verdict, Verdict::Unknown);
    EXPECT_EQ(outcome.reason, "timeout");
  });
}

// An engine that checks fencing numbers must refuse work from an earlier owner.
// Guards against reporting this refusal as Unknown.
TEST_F(EngineClientTest, StaleFencingNumberIsNotRunIfChecked)
{
  run([&]() -> Awaitable<void> {
    co_await control(mEngine.server(), R"({"check_fencing":true})");
    auto current = call("r#1", "len=1");
    current.request.fencing = 5;
    const auto first = co_await generate(std::move(current));
    EXPECT_EQ(first.verdict, Verdict::Done);
    auto stale = call("r#2", "len=1");
    stale.request.fencing = 4;
    const auto refused = co_await generate(stale);
    EXPECT_EQ(refused.verdict, Verdict::NotRun);
    EXPECT_EQ(refused.reason, "stale_fencing");
    EXPECT_EQ(mEngine.runs().size(), 1U);

    co_await control(mEngine.server(), R"({"check_fencing":false})");
    const auto ignored = co_await generate(std::move(stale));
    EXPECT_EQ(ignored.verdict, Verdict::Done);
  });
}

// Guards against reporting a single weight version for an answer that was
// generated partly by one version and partly by another.
TEST_F(EngineClientTest, WeightSwapDuringAnAnswerStartsANewSegment)
{
  run([&]() -> Awaitable<void> {
    const auto prompt = std::string("len=400");
    // The engine pauses the run after 100 tokens until it has loaded the new
    // weights.
    co_await control(mEngine.server(), R"({"hold_after_tokens":100})");
    const auto swapWeights = [&]() -> Awaitable<void> {
      while (mReceivedChunks.empty()) {
        co_await net::sleepFor(Millis(1));
      }
      mStore.announce(kModel, 2);
      const auto error =
        co_await mEngineClient.load(mEngine.server().endpoint(),
                                    kModel,
                                    2,
                                    mStore.server().endpoint(),
                                    Millis(5000));
      EXPECT_FALSE(error);
      co_await control(mEngine.server(), R"({"hold_after_tokens":0})");
    };
    net::spawn(mIo, swapWeights());
    const auto outcome = co_await generate(call("r#1", prompt));
    EXPECT_EQ(outcome.verdict, Verdict::Done);
    EXPECT_EQ(mReceivedText, expectedText(prompt, 0, 400));
    const auto& segments = outcome.segments;
    EXPECT_EQ(segments.size(), 2U);
    EXPECT_EQ(segments.front().version, 1);
    EXPECT_EQ(segments.front().from, 0);
    EXPECT_EQ(segments.back().version, 2);
    EXPECT_EQ(segments.back().from, segments.front().to);
    EXPECT_EQ(segments.back().to, 400);
    EXPECT_EQ(mEngine.runs().at(0).versions,
              (std::vector<std::int64_t>{ 1, 2 }));
  });
}

// Guards against running a request on a weight version other than the one that
// it requires.
TEST_F(EngineClientTest, RequiredVersionIsUsedOrRefused)
{
  run([&]() -> Awaitable<void> {
    auto other = call("r#1", "len=10");
    other.request.version = 2;
    const auto refused = co_await generate(std::move(other));
    EXPECT_EQ(refused.verdict, Verdict::NotRun);
    EXPECT_EQ(refused.reason, "refused");

    co_await control(mEngine.server(), R"({"hold_after_tokens":100})");
    auto bound = call("r#2", "len=1000");
    bound.request.version = 1;
    const auto swapWeights = [&]() -> Awaitable<void> {
      while (mReceivedChunks.empty()) {
        co_await net::sleepFor(Millis(1));
      }
      co_await control(mEngine.server(),
                       R"({"version":2,"hold_after_tokens":0})");
    };
    net::spawn(mIo, swapWeights());
    const auto cut = co_await generate(std::move(bound));
    EXPECT_EQ(cut.verdict, Verdict::Unknown);
    EXPECT_EQ(mEngine.runs().at(0).versions, (std::vector<std::int64_t>{ 1 }));
  });
}

// Guards against an engine that continues a request after the client has
// cancelled it.
TEST_F(EngineClientTest, CancelledStreamStopsAtTheEngine)
{
  run([&]() -> Awaitable<void> {
    auto toCancel = call("r#1", "len=1000");
    const auto signal = std::make_shared<net::CancelSignal>();
    toCancel.cancel = signal;
    toCancel.onChunk = [signal](core::Chunk) { signal->cancel(); };
    const auto outcome = co_await generate(std::move(toCancel));
    EXPECT_EQ(outcome.verdict, Verdict::Unknown);
    EXPECT_EQ(outcome.reason, "cancelled");
    while (mEngine.slots().running() > 0) {
      co_await net::sleepFor(Millis(1));
    }
    EXPECT_FALSE(mEngine.runs().at(0).finished);
    EXPECT_LT(mEngine.runs().at(0).tokens, 1000);
  });
}

// Guards against reporting Done or NotRun when the response does not follow the
// protocol.
TEST_F(EngineClientTest, MalformedAnswersAreUnknown)
{
  const std::string tokens = R"({"tokens":2,"text":"ab","version":1})"
                             "\n";
  const std::string done = R"({"done":true,"total":2,"finish":"stop"})"
                           "\n";
  const std::vector<net::HttpResponse> responses = {
    fixedResponse(200, ""),
    fixedResponse(200, tokens),
    fixedResponse(200, tokens + tokens + done),
    fixedResponse(200, tokens + done + tokens),
    fixedResponse(200, tokens + done + done),
    fixedResponse(200, done),
    fixedResponse(200, tokens + R"({"done":false,"total":2})"),
    fixedResponse(200, tokens + R"({"done":true})"),
    fixedResponse(200, "tokens\n" + done),
    fixedResponse(200,
                  R"({"tokens":-2,"text":"","version":1})"
                  "\n" +
                    done),
    fixedResponse(200,
                  R"({"tokens":2000,"text":"","version":1})"
                  "\n"),
    fixedResponse(200,
                  R"({"tokens":2,"version":1})"
                  "\n" +
                    done),
    fixedResponse(200, "[]\n" + tokens + done),
    fixedResponse(404, R"({"error":"refused"})"),
    fixedResponse(500, R"({"error":"refused"})"),
    fixedResponse(503, R"({"error":"stale_fencing"})"),
    fixedResponse(503, "refused"),
    fixedResponse(409, "{}"),
  };
  run([&]() -> Awaitable<void> {
    for (const auto& response : responses) {
      FixedServer server(mIo, response);
      const auto outcome =
        co_await mEngineClient.generate(server.endpoint(), call("r#1", "x"));
      EXPECT_EQ(outcome.verdict, Verdict::Unknown) << response.body;
      EXPECT_EQ(outcome.reason, "bad_answer") << response.body;
    }
  });
}

// Guards against assigning a version to tokens for which the engine reported
// none, and against accepting an answer that the wrong version generated.
TEST_F(EngineClientTest, VersionsAreTakenAsReported)
{
  const std::string done = R"({"done":true,"total":3,"finish":"stop"})"
                           "\n";
  FixedServer server(mIo,
                     fixedResponse(200,
                                   R"({"tokens":1,"text":"a","version":4})"
                                   "\n"
                                   R"({"tokens":1,"text":"b"})"
                                   "\n"
                                   R"({"tokens":1,"text":"c","version":4})"
                                   "\n" +
                                     done));
  run([&]() -> Awaitable<void> {
    const auto outcome =
      co_await mEngineClient.generate(server.endpoint(), call("r#1", "x"));
    EXPECT_EQ(outcome.verdict, Verdict::Done);
    EXPECT_EQ(outcome.segments,
              (std::vector<Segment>{ { 4, 0, 1 }, { 4, 2, 3 } }));
    auto bound = call("r#2", "x");
    bound.request.version = 3;
    const auto wrong =
      co_await mEngineClient.generate(server.endpoint(), std::move(bound));
    EXPECT_EQ(wrong.verdict, Verdict::Unknown);
    EXPECT_EQ(wrong.reason, "bad_answer");
  });
}

} // namespace lentilrack::backends
