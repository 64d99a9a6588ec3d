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
  /// True if the text is exactly the answer that belongs to the prompt.
  bool isTextCorrect = false;
};

/// Client of one caller. Caches the addresses that an entry returns for their
/// time to live and places orders at them. If a connection breaks, sends the
/// order with the same identifier to another entry.
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
    /// Nothing was sent, so that a new identifier may be used.
    NotSent,
    /// The connection broke after the order was sent.
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
