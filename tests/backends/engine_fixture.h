#pragma once

#include "backends/backend_fixture.h"
#include "backends/engine_client.h"
#include "standins/engine_standin.h"
#include "standins/weight_store_standin.h"

namespace lentilrack::backends {

using core::Millis;
using core::Verdict;
using net::Awaitable;
using standins::EngineStandin;

inline constexpr const char* kModel = "tasting-note";

/// Runs a simulated engine and weight store, and a client of the engine.
class EngineTest : public BackendTest
{
protected:
  static EngineStandin::Options engineOptions()
  {
    EngineStandin::Options options;
    options.id = "tasting-note-1";
    options.model = kModel;
    options.slots = 2;
    options.tokenRate = 2000;
    options.loadTime = Millis(1);
    options.reportLag = Millis(0);
    return options;
  }

  EngineTest()
  {
    mEngine.server().listen();
    mStore.server().listen();
  }

  /// Returns a call whose chunks are appended to `mReceivedText` and
  /// `mReceivedChunks`.
  GenerateCall call(std::string attempt, std::string prompt)
  {
    GenerateCall call;
    call.request.attempt = std::move(attempt);
    call.request.model = kModel;
    call.request.prompt = std::move(prompt);
    call.request.maxTokens = 1000;
    call.onChunk = [this](core::Chunk chunk) {
      mReceivedText += chunk.text;
      mReceivedChunks.push_back(std::move(chunk));
    };
    return call;
  }

  Awaitable<core::Outcome> generate(GenerateCall call)
  {
    return mEngineClient.generate(mEngine.server().endpoint(), std::move(call));
  }

  /// Occupies a slot of the engine until the run is cancelled.
  Awaitable<void> occupySlot(std::string attempt)
  {
    GenerateCall longCall;
    longCall.request.attempt = std::move(attempt);
    longCall.request.model = kModel;
    longCall.request.prompt = "long";
    longCall.request.maxTokens = 1'000'000;
    co_await generate(std::move(longCall));
  }

  Awaitable<void> waitForRuns(std::size_t count)
  {
    while (mEngine.runs().size() < count) {
      co_await net::sleepFor(Millis(1));
    }
  }

  EngineStandin mEngine{ mIo, mHttp, engineOptions() };
  standins::WeightStoreStandin mStore{ mIo, { { { kModel, 1 } } } };
  EngineClient mEngineClient{ mHttp };
  /// Text and chunks that calls made by call() have received from the engine.
  std::string mReceivedText;
  std::vector<core::Chunk> mReceivedChunks;
};

} // namespace lentilrack::backends
