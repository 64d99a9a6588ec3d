#include "standins/engine_batch.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <ranges>

namespace lentilrack::standins {

std::int64_t
EngineBatch::State::ownTokens() const
{
  return request.promptTokens + produced +
         (usesCachedPrefix ? 0 : request.prefixTokens);
}

EngineBatch::EngineBatch(EngineBatchOptions options)
  : mOptions(options)
{
}

bool
EngineBatch::fits(const Request& request) const
{
  return request.prefixTokens + request.promptTokens + request.outputTokens <=
         mOptions.memoryTokens;
}

EngineBatch::Id
EngineBatch::submit(Request request)
{
  mRequests[++mLastId].request = std::move(request);
  return mLastId;
}

void
EngineBatch::remove(Id id)
{
  const auto found = mRequests.find(id);
  if (found != mRequests.end()) {
    stop(found->second);
    mRequests.erase(found);
  }
}

void
EngineBatch::clear()
{
  mRequests.clear();
  mPrefixes.clear();
}

std::int64_t
EngineBatch::produced(Id id) const
{
  const auto found = mRequests.find(id);
  return found == mRequests.end() ? 0 : found->second.produced;
}

Microseconds
EngineBatch::runStep()
{
  admitRequests();
  std::vector<Id> producers;
  for (const auto& [id, state] : mRequests) {
    const bool isReady = state.isRunning && state.missingTokens == 0;
    if (isReady && state.produced < state.request.outputTokens) {
      producers.push_back(id);
    }
  }
  const auto prefilled = prefill();
  for (const auto id : producers) {
    auto& state = mRequests.at(id);
    while (state.isRunning && !makeRoom(1)) {
      const auto newest = std::ranges::find_if(
        mRequests | std::views::reverse,
        [](const auto& item) { return item.second.isRunning; });
      ++mPreemptions;
      stop(newest->second);
    }
    state.produced += state.isRunning ? 1 : 0;
  }
  const auto running = std::ranges::count_if(
    mRequests, [](const auto& item) { return item.second.isRunning; });
  const std::chrono::duration<double, std::milli> prefillTime(
    static_cast<double>(prefilled) / mOptions.prefillTokensPerMilli);
  return mOptions.stepTime +
         mOptions.stepTimePerRequest * std::max<std::int64_t>(running - 1, 0) +
         std::chrono::ceil<Microseconds>(prefillTime);
}

void
EngineBatch::admitRequests()
{
  for (auto& [id, state] : mRequests) {
    if (!state.isRunning && !admit(state)) {
      // Later requests must not overtake this one.
      return;
    }
  }
}

bool
EngineBatch::admit(State& state)
{
  const auto cached = findPrefix(state.request.prefix);
  if (cached != mPrefixes.end()) {
    // Keeps the prefix from being evicted.
    ++cached->users;
    state.usesCachedPrefix = true;
  }
  if (!makeRoom(state.ownTokens())) {
    if (state.usesCachedPrefix) {
      --cached->users;
      state.usesCachedPrefix = false;
    }
    return false;
  }
  if (state.usesCachedPrefix) {
    mPrefixes.splice(mPrefixes.begin(), mPrefixes, cached);
  }
  state.isRunning = true;
  state.missingTokens = state.ownTokens();
  return true;
}

std::int64_t
EngineBatch::prefill()
{
  auto budget = mOptions.prefillTokensPerStep;
  for (auto& [id, state] : mRequests) {
    const auto count =
      state.isRunning ? std::min(budget, state.missingTokens) : 0;
    if (count > 0) {
      budget -= count;
      state.missingTokens -= count;
      if (state.missingTokens == 0) {
        cachePrefix(state);
      }
    }
  }
  const auto prefilled = mOptions.prefillTokensPerStep - budget;
  mPrefilledTokens += prefilled;
  return prefilled;
}

void
EngineBatch::cachePrefix(State& state)
{
  const auto& request = state.request;
  if (state.usesCachedPrefix || request.prefix.empty()) {
    return;
  }
  const auto cached = findPrefix(request.prefix);
  if (cached == mPrefixes.end()) {
    mPrefixes.push_front({ request.prefix, request.prefixTokens, 1 });
  } else {
    // Another request has prefilled the same prefix in the meantime.
    ++cached->users;
  }
  state.usesCachedPrefix = true;
}

bool
EngineBatch::makeRoom(std::int64_t tokens)
{
  while (freeTokens() < tokens) {
    const auto unused =
      std::ranges::find_if(mPrefixes | std::views::reverse,
                           [](const CachedPrefix& p) { return p.users == 0; });
    if (unused == mPrefixes.rend()) {
      return false;
    }
    mPrefixes.erase(std::next(unused).base());
  }
  return true;
}

void
EngineBatch::stop(State& state)
{
  if (state.usesCachedPrefix) {
    --findPrefix(state.request.prefix)->users;
  }
  state.usesCachedPrefix = false;
  state.isRunning = false;
}

std::int64_t
EngineBatch::freeTokens() const
{
  const auto cached =
    std::accumulate(mPrefixes.begin(),
                    mPrefixes.end(),
                    std::int64_t{ 0 },
                    [](std::int64_t sum, const CachedPrefix& prefix) {
                      return sum + prefix.tokens;
                    });
  return std::accumulate(mRequests.begin(),
                         mRequests.end(),
                         mOptions.memoryTokens - cached,
                         [](std::int64_t free, const auto& item) {
                           return item.second.isRunning
                                    ? free - item.second.ownTokens()
                                    : free;
                         });
}

std::list<EngineBatch::CachedPrefix>::iterator
EngineBatch::findPrefix(const std::string& name)
{
  return name.empty() ? mPrefixes.end()
                      : std::ranges::find(mPrefixes, name, &CachedPrefix::name);
}

} // namespace lentilrack::standins
