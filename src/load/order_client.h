#pragma once

#include "core/work.h"
#include "load/context.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::load {

struct OrderSpec
{
  std::string kind;
  std::string model;
  std::int64_t tokens = 0;
  bool idempotent = false;
};

struct OrderResult
{
  core::Verdict verdict = core::Verdict::Unknown;
  std::string reason;
  std::string prompt;
  double millis = 0;
  std::int64_t tokens = 0;
  /// True if the text is exactly the answer of a stand-in engine to the prompt.
  bool isTextCorrect = false;
};

/// Client of one caller. Gets addresses from an entry, caches them for their
/// time to live and places orders at them. If a connection breaks after an
/// order was sent, sends the order with the same identifier to a random entry.
class OrderClient
{
public:
  OrderClient(Context& context, std::string principal);

  /// Places an order and returns its result after all attempts.
  net::Awaitable<OrderResult> place(OrderSpec spec);

private:
  struct Address
  {
    core::Endpoint endpoint;
    double weight = 1;
    std::string ticket;
    std::uint64_t sequence = 0;
  };

  net::Awaitable<bool> refreshAddresses();
  std::size_t pickAddress();
  enum class AttemptOutcome
  {
    Answered,
    /// Nothing was sent, so a new identifier may be used if no earlier attempt
    /// was sent.
    NotSent,
    /// The connection broke after the order was sent, so the next attempt must
    /// use the same identifier.
    Broken,
  };

  net::Awaitable<AttemptOutcome> attempt(core::Endpoint endpoint,
                                         std::string body,
                                         OrderResult& result);
  net::Awaitable<void> refreshIfExpired();

  Context& mContext;
  std::string mPrincipal;
  std::vector<Address> mAddresses;
  core::TimePoint mExpiry;
  bool mRefreshing = false;
};

} // namespace lentilrack::load
