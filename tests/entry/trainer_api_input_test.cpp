// Tests of openings, home changes, draining and invalid input over HTTP.
#include "entry/trainer_fixture.h"

namespace lentilrack::entry {

using core::Millis;
using net::Awaitable;
using wire::Json;

// Guards against a step that cannot continue at another instance after its home
// was lost, or that then repeats samples that the trainer has.
TEST_F(TrainerApiTest, StepContinuesAtAnotherInstance)
{
  Home first(mIo, *this);
  Home second(mIo, *this);
  run([&]() -> Awaitable<void> {
    co_await open(first, openBody());
    co_await pullAll(first, 1);
    auto body = openBody(2);
    body["have"] = Json::parse(
      R"([{"group":0,"index":0},{"group":0,"index":1},{"group":1,"index":1}])");
    const auto have = body["have"];
    mEngines.calls.clear();
    const auto opened = co_await open(second, body);
    EXPECT_EQ(opened.status, 200);
    const auto answer = co_await pull(second, pullBody(2, have));
    EXPECT_EQ(answer.body.at("samples").size(), 1U);
    EXPECT_EQ(answer.body.at("complete"), true);
    EXPECT_EQ(mEngines.calls.size(), 1U);
    const auto old = co_await pull(first, pullBody(2, Json::array()));
    EXPECT_EQ(old.status, 409);
    EXPECT_EQ(old.body.at("error"), "unknown_opening");
  });
}

TEST_F(TrainerApiTest, OldOpeningIsRefusedAfterAReopening)
{
  Home home(mIo, *this);
  run([&]() -> Awaitable<void> {
    co_await open(home, openBody(1));
    const auto reopened = co_await open(home, openBody(3));
    EXPECT_EQ(reopened.status, 200);
    const auto old = co_await pull(home, pullBody(1, Json::array()));
    EXPECT_EQ(old.status, 409);
    EXPECT_EQ(old.body.at("error"), "old_opening");
    const auto older = co_await open(home, openBody(2));
    EXPECT_EQ(older.body.at("error"), "old_opening");
    const auto samples = co_await pullAll(home, 3);
    EXPECT_EQ(samples.size(), 4U);
  });
}

// Guards against two pulls that both wait and then return the same samples,
// when a trainer repeats a pull that has timed out.
TEST_F(TrainerApiTest, LaterPullReplacesTheWaitingPull)
{
  Home home(mIo, *this);
  run([&]() -> Awaitable<void> {
    mEngines.isPaused = true;
    co_await open(home, openBody());
    std::vector<HttpReply> answers;
    const auto waitingPull = [&]() -> Awaitable<void> {
      answers.push_back(co_await pull(home, pullBody(1, Json::array())));
    };
    net::spawn(mIo, waitingPull());
    co_await until([&] { return mEngines.running == 4; });
    co_await net::sleepFor(Millis(20));
    const auto bad = co_await pull(home, pullBody(9, Json::array(), 1, 0));
    EXPECT_EQ(bad.status, 409);
    EXPECT_TRUE(answers.empty());
    const auto later = co_await pull(home, pullBody(1, Json::array(), 1, 0));
    EXPECT_EQ(later.status, 200);
    co_await until([&] { return !answers.empty(); });
    EXPECT_EQ(answers[0].status, 409);
    EXPECT_EQ(answers[0].body.at("error"), "superseded");
    mEngines.isPaused = false;
    const auto samples = co_await pullAll(home, 1);
    EXPECT_EQ(samples.size(), 4U);
  });
}

// Guards against invalid input that damages an open step.
TEST_F(TrainerApiTest, BadInputIsRefusedAndLeavesTheStepUnharmed)
{
  Home home(mIo, *this);
  run([&]() -> Awaitable<void> {
    mEngines.isPaused = true;
    co_await open(home, openBody());
    auto otherPrompts = openBody();
    otherPrompts["prompts"] = { "prompt a", "prompt c" };
    const auto other = co_await open(home, otherPrompts);
    EXPECT_EQ(other.status, 409);
    EXPECT_EQ(other.body.at("error"), "different_step");
    const auto unsent = Json::parse(R"([{"group":0,"index":0}])");
    const Json ackBody{ { "opening", 1 }, { "have", unsent } };
    const auto acked = co_await ack(home, ackBody);
    EXPECT_EQ(acked.status, 409);
    EXPECT_EQ(acked.body.at("error"), "never_sent");
    const auto outside = Json::parse(R"([{"group":7,"index":0}])");
    const auto noSlot = co_await pull(home, pullBody(1, outside));
    EXPECT_EQ(noSlot.status, 400);
    const auto negative = co_await pull(home, pullBody(1, Json::array(), -1));
    EXPECT_EQ(negative.status, 400);
    const auto malformed =
      co_await send(home, "POST", "/v1/steps/s1/pull", "{");
    EXPECT_EQ(malformed.status, 400);
    EXPECT_EQ(malformed.body.at("error"), "bad_input");
    EXPECT_TRUE(malformed.body.at("verdict").is_null());
    mEngines.isPaused = false;
    const auto samples = co_await pullAll(home, 1);
    EXPECT_EQ(samples.size(), 4U);
  });
}

TEST_F(TrainerApiTest, BadOpeningsRunNothing)
{
  Home home(mIo, *this);
  run([&]() -> Awaitable<void> {
    const std::vector<std::pair<const char*, Json>> cases{
      { "quorum", 3 },       { "quorum", -1 },       { "group_size", 0 },
      { "max_tokens", 0 },   { "version", -1 },      { "opening", 0 },
      { "kind", "unknown" }, { "model", "unknown" }, { "step", "a b" },
      { "surprise", 1 },     { "group_size", 9e15 },
    };
    for (const auto& [field, value] : cases) {
      auto body = openBody();
      body[field] = value;
      const auto answer = co_await open(home, std::move(body));
      EXPECT_GE(answer.status, 400) << field;
      EXPECT_LT(answer.status, 500) << field;
      EXPECT_FALSE(answer.body.at("message").get<std::string>().empty());
      EXPECT_EQ(answer.body.at("verdict"), "not_run") << field;
    }
  });
  EXPECT_EQ(home.api.activeSteps(), 0);
  EXPECT_TRUE(mEngines.calls.empty());
}

// Guards against access to the steps of another trainer.
TEST_F(TrainerApiTest, StepsBelongToTheirTrainer)
{
  Home home(mIo, *this);
  run([&]() -> Awaitable<void> {
    co_await open(home, openBody());
    const auto text = openBody().dump();
    const auto anonymous = co_await send(home, "POST", "/v1/steps", text, "");
    EXPECT_EQ(anonymous.status, 401);
    const auto guess = co_await send(home, "POST", "/v1/steps", text, "guess");
    EXPECT_EQ(guess.status, 401);
    const auto caller =
      co_await send(home, "POST", "/v1/steps", text, "caller-token");
    EXPECT_EQ(caller.status, 403);
    const auto pullText = pullBody(1, Json::array(), 1, 0).dump();
    const auto foreign =
      co_await send(home, "POST", "/v1/steps/s1/pull", pullText, "other-token");
    EXPECT_EQ(foreign.status, 404);
    const auto closed =
      co_await send(home, "DELETE", "/v1/steps/s1", "", "other-token");
    EXPECT_EQ(closed.status, 404);
    const auto samples = co_await pullAll(home, 1);
    EXPECT_EQ(samples.size(), 4U);
  });
}

// Guards against a leaving instance that abandons its open steps or accepts new
// steps.
TEST_F(TrainerApiTest, DrainingHomeFinishesItsSteps)
{
  Home home(mIo, *this);
  core::Member other;
  other.id = { "entry-2/entry", 5 };
  other.role = core::MemberRole::Entry;
  other.http = core::Endpoint{ "127.0.0.1", 8080 };
  other.failureDomain = "messina";
  home.node.members().applyHeartbeat(other, core::Clock::now());
  run([&]() -> Awaitable<void> {
    mEngines.isPaused = true;
    co_await open(home, openBody());
    co_await until([&] { return mEngines.running == 4; });
    home.api.beginDrain();
    auto body = openBody();
    body["step"] = "s2";
    const auto refused = co_await open(home, body);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.body.at("error"), "draining");
    EXPECT_EQ(refused.body.at("verdict"), "not_run");
    EXPECT_EQ(refused.body.at("addresses")[0].at("endpoint"), "127.0.0.1:8080");
    EXPECT_EQ(home.api.activeSteps(), 1);
    mEngines.isPaused = false;
    const auto samples = co_await pullAll(home, 1);
    EXPECT_EQ(samples.size(), 4U);
    Json ackBody{ { "opening", 1 }, { "have", Json::array() } };
    for (const auto& sample : samples) {
      ackBody["have"].push_back(
        { { "group", sample.at("group") }, { "index", sample.at("index") } });
    }
    co_await ack(home, ackBody);
    EXPECT_EQ(home.api.activeSteps(), 0);
  });
}

} // namespace lentilrack::entry
