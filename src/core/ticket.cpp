#include "core/ticket.h"

#include "core/decimal.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <array>

namespace lentilrack::core {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMacBytes = crypto_generichash_BYTES;
constexpr std::size_t kMaxTextBytes = 4096;
constexpr int kBase64Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
// Prefix of the authenticated data, so that a MAC made for another purpose with
// the same secret is not accepted as a ticket's (domain separation).
constexpr std::string_view kMacContext = "lentilrack ticket 1";

const unsigned char*
bytesOf(std::string_view text)
{
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::string
encodeBase64(std::string_view bytes)
{
  std::string text(sodium_base64_ENCODED_LEN(bytes.size(), kBase64Variant),
                   '\0');
  sodium_bin2base64(
    text.data(), text.size(), bytesOf(bytes), bytes.size(), kBase64Variant);
  text.resize(text.find('\0'));
  return text;
}

std::string
keyedHash(std::string_view text, std::string_view key)
{
  std::string digest(kMacBytes, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(digest.data()),
                     digest.size(),
                     bytesOf(text),
                     text.size(),
                     key.empty() ? nullptr : bytesOf(key),
                     key.size());
  return digest;
}

std::string
encodeTicket(const Ticket& ticket)
{
  Json dispatchers = Json::array();
  for (const auto& id : ticket.dispatchers) {
    dispatchers.push_back(Json::array({ id.name, id.incarnation }));
  }
  const auto bytes = Json::to_cbor(Json::array({ ticket.home.name,
                                                 ticket.home.incarnation,
                                                 ticket.caller,
                                                 ticket.nonce,
                                                 ticket.expiry.count(),
                                                 std::move(dispatchers) }));
  return { bytes.begin(), bytes.end() };
}

std::optional<Ticket>
decodeTicket(std::string_view bytes)
{
  try {
    const auto json = Json::from_cbor(bytes.begin(), bytes.end());
    Ticket ticket;
    ticket.home = { json.at(0).get<std::string>(),
                    json.at(1).get<Incarnation>() };
    ticket.caller = json.at(2).get<std::string>();
    ticket.nonce = json.at(3).get<std::uint64_t>();
    ticket.expiry = Millis(json.at(4).get<std::int64_t>());
    for (const auto& id : json.at(5)) {
      ticket.dispatchers.push_back(
        { id.at(0).get<std::string>(), id.at(1).get<Incarnation>() });
    }
    return ticket;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace

TicketSigner::TicketSigner(std::string_view secret)
  : mKey(keyedHash(secret, ""))
{
}

std::string
TicketSigner::mac(std::string_view bytes) const
{
  return keyedHash(std::string(kMacContext) + std::string(bytes), mKey);
}

std::string
TicketSigner::sign(const Ticket& ticket) const
{
  auto signedTicket = encodeTicket(ticket);
  signedTicket = mac(signedTicket) + signedTicket;
  return encodeBase64(signedTicket);
}

std::optional<Ticket>
TicketSigner::verify(std::string_view text) const
{
  if (text.size() > kMaxTextBytes) {
    return std::nullopt;
  }
  std::string signedTicket(text.size(), '\0');
  std::size_t size = 0;
  const char* end = nullptr;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(signedTicket.data()),
                        signedTicket.size(),
                        text.data(),
                        text.size(),
                        nullptr,
                        &size,
                        &end,
                        kBase64Variant) != 0 ||
      end != text.data() + text.size() || size < kMacBytes) {
    return std::nullopt;
  }
  signedTicket.resize(size);
  // libsodium 1.0.18 decodes the byte 0xff as a base64 digit, so that different
  // texts can decode to the same ticket. Only the text that sign() returns is
  // accepted, since another one would give a request a second identifier.
  if (encodeBase64(signedTicket) != text) {
    return std::nullopt;
  }
  const auto bytes = std::string_view(signedTicket).substr(kMacBytes);
  const auto expected = mac(bytes);
  if (sodium_memcmp(expected.data(), signedTicket.data(), kMacBytes) != 0) {
    return std::nullopt;
  }
  return decodeTicket(bytes);
}

std::string
RequestId::text() const
{
  return ticket + "." + std::to_string(sequence);
}

std::optional<RequestId>
RequestId::parse(std::string_view text)
{
  const auto dot = text.find('.');
  if (dot == 0 || dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto digits = text.substr(dot + 1);
  const auto sequence = parseDecimal<decltype(RequestId::sequence)>(digits);
  // Leading zeros would give a request several text forms.
  if (!sequence || (digits.size() > 1 && digits.front() == '0')) {
    return std::nullopt;
  }
  return RequestId{ std::string(text.substr(0, dot)), *sequence };
}

} // namespace lentilrack::core
