#pragma once

#include "standins/standin_server.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::standins {

/// Options of an engine that processes its requests in batches.
struct EngineBatchOptions
{
  /// Memory, in tokens, for running requests and cached prefixes. With 0, the
  /// engine does not process requests in batches.
  std::int64_t memoryTokens = 0;
  /// Duration of a step of one request, and the additional duration for each
  /// further running request.
  Microseconds stepTime{ 600 };
  Microseconds stepTimePerRequest{ 50 };
  /// Prompt tokens that all requests together prefill in one step, and how many
  /// of them take a millisecond.
  std::int64_t prefillTokensPerStep = 512;
  double prefillTokensPerMilli = 900;
  std::int64_t tokensPerEvent = 4;
};

/// Simulates how a model engine processes its requests, step by step and
/// without real time. In each step, all requests whose prompt has been
/// prefilled produce one token, and the others prefill a part of their prompts.
/// Running requests and cached prefixes share the memory: the least recently
/// used prefixes are evicted, and if that is not enough, the newest request is
/// preempted and prefilled again later, together with the tokens that it has
/// produced.
class EngineBatch
{
public:
  using Id = std::uint64_t;

  struct Request
  {
    /// Name of the shared prefix of the prompt; empty if there is none.
    std::string prefix;
    std::int64_t prefixTokens = 0;
    /// Further tokens of the prompt.
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
  };

  explicit EngineBatch(EngineBatchOptions options);

  /// Returns true if the request fits into the memory while it runs alone.
  bool fits(const Request& request) const;
  /// Adds a request, which must fit. Requests are admitted in order of arrival.
  Id submit(Request request);
  /// Removes a request that is finished or cancelled.
  void remove(Id id);
  /// Discards all requests and cached prefixes.
  void clear();
  /// Returns the number of tokens that the request has produced.
  std::int64_t produced(Id id) const;
  bool hasRequests() const { return !mRequests.empty(); }
  /// Runs one step and returns its duration.
  Microseconds runStep();

  /// Number of prompt tokens prefilled so far.
  std::int64_t prefilledTokens() const { return mPrefilledTokens; }
  /// Number of preemptions so far.
  std::int64_t preemptions() const { return mPreemptions; }

private:
  struct State
  {
    Request request;
    bool isRunning = false;
    /// Whether the prefix is in the cache and used by this running request.
    bool usesCachedPrefix = false;
    /// Tokens that are still to be prefilled.
    std::int64_t missingTokens = 0;
    std::int64_t produced = 0;

    /// Tokens that the running request holds outside of the cache.
    std::int64_t ownTokens() const;
  };
  struct CachedPrefix
  {
    std::string name;
    std::int64_t tokens = 0;
    int users = 0;
  };

  void admitRequests();
  /// Starts the request if the memory suffices. Returns false if not.
  bool admit(State& state);
  /// Prefills parts of the prompts in order of arrival. Returns the number of
  /// tokens.
  std::int64_t prefill();
  /// Moves the prefix of a request that has been prefilled into the cache.
  void cachePrefix(State& state);
  /// Evicts prefixes that no running request uses until `tokens` are free.
  /// Returns false if that is not possible.
  bool makeRoom(std::int64_t tokens);
  void stop(State& state);
  std::int64_t freeTokens() const;
  std::list<CachedPrefix>::iterator findPrefix(const std::string& name);

  EngineBatchOptions mOptions;
  /// Requests in order of arrival.
  std::map<Id, State> mRequests;
  Id mLastId = 0;
  /// Most recently used first.
  std::list<CachedPrefix> mPrefixes;
  std::int64_t mPrefilledTokens = 0;
  std::int64_t mPreemptions = 0;
};

} // namespace lentilrack::standins
