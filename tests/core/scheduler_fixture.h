#pragma once

#include "core/scheduler.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

inline const TimePoint kSchedulerStart{ Millis(1'000'000) };

/// A scheduler in virtual time with a few engines that serve the model "m".
class SchedulerFixture : public ::testing::Test
{
protected:
  void make(int engines,
            std::int64_t slots,
            SchedulerHooks hooks = defaultHooks(),
            SchedulerOptions options = {})
  {
    mScheduler =
      std::make_unique<Scheduler>(options, std::move(hooks), pcg32(42));
    for (int i = 0; i < engines; ++i) {
      BackendServer server;
      server.id = "s" + std::to_string(i);
      server.models = { "m" };
      server.slots = slots;
      mBackendServers.push_back(server);
    }
    applyList();
    mNow += Millis(10'000);
    mScheduler->advance(mNow);
    setVersions(1);
  }

  void applyList()
  {
    mScheduler->servers().update(
      mBackendServers, [](const auto&) { return true; }, mNow);
  }

  void setVersions(std::int64_t version)
  {
    for (const auto& server : mBackendServers) {
      mScheduler->servers().setVersion(server.id, "m", version, mNow);
    }
  }

  Submission submission(std::string request,
                        WorkType type = WorkType::Order,
                        std::int64_t tokens = 100) const
  {
    Submission value;
    value.attempt = { std::move(request), 1 };
    value.work.type = type;
    value.work.principal = type == WorkType::Rollout ? "trainer" : "caller";
    value.work.kind = "k";
    value.work.target = "m";
    value.work.maxTokens = tokens;
    value.work.idempotent = type == WorkType::Rollout;
    value.row.principal = value.work.principal;
    value.row.kind = "k";
    value.row.priority = type == WorkType::Rollout ? 7 : 2;
    value.deadline = mNow + Millis(30'000);
    return value;
  }

  JobId accept(Submission newSubmission)
  {
    const auto result = mScheduler->submit(std::move(newSubmission), mNow);
    EXPECT_TRUE(std::holds_alternative<JobId>(result));
    return std::get<JobId>(result);
  }

  Outcome refuse(Submission newSubmission)
  {
    const auto result = mScheduler->submit(std::move(newSubmission), mNow);
    EXPECT_TRUE(std::holds_alternative<Outcome>(result));
    return std::get<Outcome>(result);
  }

  JobStart startNext()
  {
    const auto start = mScheduler->next(mNow);
    EXPECT_TRUE(start);
    return *start;
  }

  static Outcome outcome(Verdict verdict, std::string reason = "")
  {
    Outcome value;
    value.verdict = verdict;
    value.reason = std::move(reason);
    return value;
  }

  /// Runs jobs of `tokens` tokens, enough of them for the scheduler to learn
  /// this number as the typical cost.
  void learn(std::int64_t tokens)
  {
    for (int i = 0; i < 30; ++i) {
      const auto id = accept(
        submission("learn" + std::to_string(i), WorkType::Order, tokens));
      startNext();
      mScheduler->begin(id, mNow);
      mNow += Millis(500);
      mScheduler->progress(id, { "", tokens, 1 }, mNow);
      mScheduler->advance(mNow);
      mScheduler->finished(id, outcome(Verdict::Done), mNow);
    }
  }

  std::vector<BackendServer> mBackendServers;
  std::unique_ptr<Scheduler> mScheduler;
  TimePoint mNow = kSchedulerStart;
};

} // namespace lentilrack::core
