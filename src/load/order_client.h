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
  /// Whether the text is exactly the answer to the own prompt.
  bool isTextCorrect = false;
};

/// A caller: asks for addresses, keeps the answer for its time to live, places
/// orders and sends an order again elsewhere, with the same identifier, when a
/// connection breaks.
class OrderClient
{
public:
  OrderClient(Context& context, std::string principal);

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
  /// What became of one try.
  enum class AttemptOutcome
  {
    Answered,
    /// Nothing was sent, so a new identifier may be used.
    NotSent,
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
