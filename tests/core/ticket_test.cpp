#include "core/ticket.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

Ticket
sampleTicket()
{
  Ticket ticket;
  ticket.home = { "etna-1/entry", 0xfedcba9876543210 };
  ticket.caller = "order-desk";
  ticket.nonce = 42;
  ticket.expiry = Millis(900'000);
  for (std::uint64_t i = 0; i < kMaxDispatchSetSize; ++i) {
    ticket.dispatchers.push_back(
      { "etna-" + std::to_string(i) + "/dispatch", i });
  }
  return ticket;
}

} // namespace

TEST(Ticket, VerifiesWhatItSigned)
{
  const TicketSigner signer("secret");
  const auto text = signer.sign(sampleTicket());
  EXPECT_EQ(signer.verify(text), sampleTicket());
  // A ticket is sent in a header, and headers are limited to 16 KB.
  EXPECT_LT(text.size(), 1024U);
}

// Guards against accepting a ticket that another deployment issued or that a
// caller forged.
TEST(Ticket, RefusesOtherSecrets)
{
  const auto text = TicketSigner("guess").sign(sampleTicket());
  EXPECT_FALSE(TicketSigner("secret").verify(text));
}

// Guards against accepting a ticket whose validity or dispatch set the caller
// has changed, and against accepting a second text for the same ticket, which
// would give the same request a second identifier.
RC_GTEST_PROP(Ticket, RefusesEveryChangedText, ())
{
  const TicketSigner signer("secret");
  auto text = signer.sign(sampleTicket());
  const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto other = *rc::gen::arbitrary<char>();
  RC_PRE(text[position] != other);
  text[position] = other;
  RC_ASSERT(!signer.verify(text));
}

RC_GTEST_PROP(Ticket, RefusesEveryCutOrExtendedText, ())
{
  const TicketSigner signer("secret");
  const auto text = signer.sign(sampleTicket());
  const auto size = *rc::gen::inRange<std::size_t>(0, text.size());
  RC_ASSERT(!signer.verify(text.substr(0, size)));
  RC_ASSERT(!signer.verify(text + *rc::gen::nonEmpty<std::string>()));
}

RC_GTEST_PROP(RequestId, ParsesItsOwnText, (std::uint64_t sequence))
{
  const RequestId id{ "AbC-_9", sequence };
  RC_ASSERT(RequestId::parse(id.text()) == id);
}

// Guards against accepting two text forms of one request identifier: the
// request would be run once for each of them.
RC_GTEST_PROP(RequestId, HasOneTextForm, (std::string digits))
{
  const auto text = "ticket." + digits;
  const auto id = RequestId::parse(text);
  const bool isCanonical = !id || id->text() == text;
  RC_ASSERT(isCanonical);
}

TEST(RequestId, RefusesOtherForms)
{
  for (const auto* text : { "",
                            ".",
                            "ticket",
                            "ticket.",
                            ".1",
                            "ticket.01",
                            "ticket.+1",
                            "ticket.-1",
                            "ticket.1 ",
                            "ticket.1.2",
                            "ticket.18446744073709551616" }) {
    EXPECT_FALSE(RequestId::parse(text)) << text;
  }
}

} // namespace lentilrack::core
