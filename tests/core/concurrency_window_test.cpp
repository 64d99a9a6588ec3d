#include "core/concurrency_window.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace lentilrack::core {

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/// Processes with more requests than one server can process, as the calls that
/// score items are when most servers limit their load.
class WindowSimulation
{
public:
  static constexpr Millis kServiceTime{ 80 };
  static constexpr Millis kRefusalTime{ 2 };
  static constexpr std::int64_t kCapacity = 6;

  struct Result
  {
    int accepted = 0;
    int refused = 0;
  };

  explicit WindowSimulation(std::size_t processes)
    : mWindows(processes)
  {
  }

  Result run(Millis duration)
  {
    Result result;
    std::size_t first = 0;
    for (auto now = kStart; now < kStart + duration; now += Millis(1)) {
      endRequests(now, result);
      // A fixed order of the processes would prefer the first ones.
      ++first;
      for (std::size_t i = 0; i < mWindows.size(); ++i) {
        const auto process = (first + i) % mWindows.size();
        while (mWindows[process].hasRoom(now)) {
          start(process, now);
        }
      }
    }
    return result;
  }

private:
  struct Request
  {
    std::size_t process = 0;
    bool isAccepted = false;
    TimePoint endsAt{};
  };

  void start(std::size_t process, TimePoint now)
  {
    const auto running =
      std::ranges::count(mRequests, true, &Request::isAccepted);
    const bool isAccepted = running < kCapacity;
    mWindows[process].started();
    mRequests.push_back({ process,
                          isAccepted,
                          now + (isAccepted ? kServiceTime : kRefusalTime) });
  }

  void endRequests(TimePoint now, Result& result)
  {
    std::erase_if(mRequests, [&](const Request& request) {
      if (now < request.endsAt) {
        return false;
      }
      auto& window = mWindows[request.process];
      window.ended();
      if (request.isAccepted) {
        window.accepted();
        ++result.accepted;
      } else {
        window.refused(now);
        ++result.refused;
      }
      return true;
    });
  }

  std::vector<ConcurrencyWindow> mWindows;
  std::vector<Request> mRequests;
};

class ConcurrencyWindowFleetTest : public testing::TestWithParam<std::size_t>
{};

} // namespace

// Guards against waiting requests that are sent to a full server again and
// again: a server without a limit got 13 refused requests for each accepted
// one, and orders found no slot there.
TEST_P(ConcurrencyWindowFleetTest, FullServerIsUsedWithFewRefusals)
{
  constexpr Millis kDuration{ 20'000 };
  const auto result = WindowSimulation(GetParam()).run(kDuration);
  const auto possible =
    WindowSimulation::kCapacity * (kDuration / WindowSimulation::kServiceTime);
  EXPECT_GE(result.accepted, 0.8 * static_cast<double>(possible));
  EXPECT_LE(result.refused, result.accepted);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         ConcurrencyWindowFleetTest,
                         testing::Values(1, 7, 60));

// Guards against a server that is left unused after it was full once.
TEST(ConcurrencyWindowTest, WindowOpensAgainAfterRefusals)
{
  ConcurrencyWindow window;
  auto now = kStart;
  for (int i = 0; i < 10; ++i, now += ConcurrencyWindowOptions().maxPause) {
    EXPECT_TRUE(window.hasRoom(now));
    window.refused(now);
    EXPECT_FALSE(window.hasRoom(now));
  }
  constexpr int kAcceptedRequests = 40;
  for (int i = 0; i < kAcceptedRequests; ++i) {
    window.started();
    window.accepted();
    window.ended();
  }
  window.started();
  window.started();
  EXPECT_TRUE(window.hasRoom(now));
}

} // namespace lentilrack::core
