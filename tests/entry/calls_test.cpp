#include "entry/entry_fixture.h"

namespace lentilrack::entry {

namespace {

class Calls : public EntryTest
{
protected:
  static net::HttpRequest requestOf(const std::string& id,
                                    const std::string& idempotent = "false")
  {
    return { "POST",
             "/v1/calls/stock/items/7?unit=kg",
             { { "X-Request-Id", id },
               { "X-Kind", "stock" },
               { "X-Idempotent", idempotent },
               { "Content-Type", "text/plain" } },
             "two bags" };
  }
};

} // namespace

TEST_F(Calls, BodyAndStatusPassThrough)
{
  run([&]() -> net::Awaitable<void> {
    const auto answer =
      co_await send(mEntryProcess, requestOf(newId(mEntryProcess)));
    EXPECT_EQ(answer.status, 201);
    EXPECT_EQ(answer.body, "two bags");
    EXPECT_EQ(answer.contentType, "text/plain");
    const auto& runs = mFirstDispatcher.runs.empty() ? mSecondDispatcher.runs
                                                     : mFirstDispatcher.runs;
    EXPECT_EQ(runs, std::vector<std::string>{ "items/7?unit=kg" });
  });
}

// Guards against changing or refusing bodies with arbitrary bytes.
TEST_F(Calls, BinaryBodyPassesThroughUnchanged)
{
  run([&]() -> net::Awaitable<void> {
    std::string body;
    for (int i = 0; i < 256; ++i) {
      body += static_cast<char>(i);
    }
    auto request = requestOf(newId(mEntryProcess));
    request.body = body;
    const std::vector<TestEntry*> entries{ &mEntryProcess,
                                           &mOtherEntryProcess };
    for (auto* entry : entries) {
      const auto answer = co_await send(*entry, request);
      EXPECT_EQ(answer.status, 201);
      EXPECT_EQ(answer.body, body);
    }
  });
}

// Guards against running a non-idempotent call again for a duplicate request.
TEST_F(Calls, DuplicateGetsTheRecordedAnswer)
{
  run([&]() -> net::Awaitable<void> {
    const auto request = requestOf(newId(mEntryProcess));
    co_await send(mEntryProcess, request);
    const std::vector<TestEntry*> entries{ &mEntryProcess,
                                           &mOtherEntryProcess };
    for (auto* entry : entries) {
      const auto answer = co_await send(*entry, request);
      EXPECT_EQ(answer.status, 201);
      EXPECT_EQ(answer.body, "two bags");
    }
    EXPECT_EQ(mFirstDispatcher.runs.size() + mSecondDispatcher.runs.size(), 1U);
  });
}

// Guards against retrying a non-idempotent call after the loss of its
// dispatcher, which may have run the call.
TEST_F(Calls, LostCallIsUnknownAndNotRepeated)
{
  mFirstDispatcher.engine = mSecondDispatcher.engine =
    [&](wire::DispatchRequest,
        FakeDispatcher::Request) -> net::Awaitable<core::Outcome> {
    mFirstDispatcher.shutDown();
    mSecondDispatcher.shutDown();
    co_return core::Outcome{};
  };
  run([&]() -> net::Awaitable<void> {
    const auto answer =
      co_await send(mEntryProcess, requestOf(newId(mEntryProcess)));
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(answer.verdict(), "unknown");
    EXPECT_EQ(mFirstDispatcher.runs.size() + mSecondDispatcher.runs.size(), 1U);
  });
}

TEST_F(Calls, BadHeadersAreNamed)
{
  run([&]() -> net::Awaitable<void> {
    const std::vector<std::pair<std::string, std::string>> bad{
      { "X-Request-Id", "" },
      { "X-Kind", "" },
      { "X-Idempotent", "maybe" },
      { "X-Deadline-Ms", "soon" },
    };
    for (const auto& [name, value] : bad) {
      auto request = requestOf(newId(mEntryProcess));
      std::erase_if(request.headers,
                    [&](const auto& each) { return each.first == name; });
      request.headers.emplace_back(name, value);
      const auto answer = co_await send(mEntryProcess, std::move(request));
      EXPECT_EQ(answer.status, 400) << name;
      EXPECT_TRUE(answer.json()["verdict"].is_null()) << name;
    }
    EXPECT_EQ(mFirstDispatcher.runs.size() + mSecondDispatcher.runs.size(), 0U);
  });
}

} // namespace lentilrack::entry
