#include "entry/entry_fixture.h"

#include <set>

namespace lentilrack::entry {

namespace {

class Addresses : public EntryTest
{
protected:
  net::Awaitable<wire::Json> addresses()
  {
    net::HttpRequest request;
    request.target = "/v1/addresses?target=note";
    const auto answer = co_await send(mEntryProcess, std::move(request));
    EXPECT_EQ(answer.status, 200);
    auto json = answer.json();
    co_return json;
  }
};

} // namespace

// Guards against listing an address with a ticket that names another instance
// as home. Every order with such a ticket would have to be relayed.
TEST_F(Addresses, EachTicketNamesItsInstanceAsHome)
{
  run([&]() -> net::Awaitable<void> {
    const auto json = co_await addresses();
    EXPECT_EQ(json["ttl_ms"], 30'000);
    EXPECT_EQ(json["addresses"].size(), 2U);
    const core::TicketSigner signer(kSecret);
    for (const auto& address : json["addresses"]) {
      const auto ticket = signer.verify(address["ticket"].get<std::string>());
      const bool isOwn = address["endpoint"] == mEntryProcess.http().text();
      auto& home = isOwn ? mEntryProcess : mOtherEntryProcess;
      EXPECT_EQ(address["endpoint"], home.http().text());
      EXPECT_EQ(ticket->home, home.node().self());
      EXPECT_EQ(ticket->caller, "desk");
      EXPECT_EQ(ticket->dispatchers.size(), 2U);
      const core::RequestId id{ address["ticket"], 1 };
      const auto answer = co_await order(home, orderBody(id.text(), "one"));
      EXPECT_EQ(answer.verdict(), "done");
    }
  });
}

TEST_F(Addresses, TicketsAreUnique)
{
  run([&]() -> net::Awaitable<void> {
    std::set<std::string> tickets;
    for (int i = 0; i < 5; ++i) {
      const auto json = co_await addresses();
      for (const auto& address : json["addresses"]) {
        tickets.insert(address["ticket"]);
      }
    }
    EXPECT_EQ(tickets.size(), 10U);
  });
}

// Guards against listing an instance that is leaving or lost while the
// membership still shows it as alive.
TEST_F(Addresses, LeavingAndLostInstancesAreNotListed)
{
  run([&]() -> net::Awaitable<void> {
    mOtherEntryProcess.app().beginDrain();
    auto json = co_await addresses();
    EXPECT_EQ(json["addresses"].size(), 1U);
    EXPECT_EQ(json["addresses"][0]["weight"], 1);
    mOtherEntryProcess.closeLinks();
    json = co_await addresses();
    EXPECT_EQ(json["addresses"].size(), 1U);
  });
}

} // namespace lentilrack::entry
