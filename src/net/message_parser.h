#pragma once

// Included by the parsers of requests and responses only, since Beast is slow
// to compile.
#include "net/beast.h"
#include "net/http_types.h"
#include "net/message_syntax.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace lentilrack::net {

/// Parses one message with Beast and applies the checks that Beast leaves to
/// its users. It keeps the fields itself: Beast's container of fields throws an
/// exception if one is longer than 64 KB.
template<bool isRequest>
class MessageParser : public http::basic_parser<isRequest>
{
public:
  using Error = boost::system::error_code;
  using Base = http::basic_parser<isRequest>;

  /// Parses some of the bytes and returns how many. The error is need_more if
  /// the others must be passed again, followed by those received next.
  std::size_t parseSome(std::string_view bytes, Error& error)
  {
    // Beast 1.74 asserts that it is given the whole end of the last chunk.
    if (isBeforeChunk() && bytes.size() < kMinRestOfChunks) {
      error = http::error::need_more;
      return 0;
    }
    if (!Base::is_header_done() && hasFoldedLine(headLines(bytes))) {
      error = http::error::bad_value;
      return 0;
    }
    const auto parsed = Base::put(asio::buffer(bytes), error);
    const bool isTrailer = Base::is_done() && Base::chunked();
    if (isTrailer && hasFoldedLine(bytes.substr(0, parsed))) {
      error = http::error::bad_value;
    }
    return parsed;
  }

protected:
  static std::string toString(beast::string_view text)
  {
    return { text.data(), text.size() };
  }

  /// Called when the head is complete, with its fields.
  virtual void onHead(Headers headers, int version, Error& error) = 0;
  virtual void onData(std::string_view data) = 0;
  void setVersion(int version) { mVersion = version; }

private:
  /// Size, in bytes, of the rest of a chunked body after a chunk, if it is as
  /// short as possible: the last chunk and the end of the trailer.
  static constexpr std::size_t kMinRestOfChunks = 5;

  /// Returns true if the next bytes are the head of a chunk.
  bool isBeforeChunk() const
  {
    return Base::is_header_done() && Base::chunked() && mChunkBytesLeft == 0;
  }

  // Beast names these functions. The linter does not recognise overrides of a
  // base class that depends on a template parameter.
  // NOLINTBEGIN(readability-identifier-naming)
  void on_field_impl(http::field,
                     beast::string_view name,
                     beast::string_view value,
                     Error& error) final
  {
    if (++mFields > kMaxMessageFields) {
      error = http::error::header_limit;
      return;
    }
    // The fields of a trailer are not used.
    if (!mHasHead) {
      mHeaders.emplace_back(toString(name), toString(value));
    }
  }

  void on_header_impl(Error& error) final
  {
    mHasHead = true;
    // Beast ignores the transfer codings that it does not know.
    if (!hasValidTransferCoding(mHeaders, mVersion)) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    onHead(std::move(mHeaders), mVersion, error);
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) final {}

  std::size_t on_body_impl(beast::string_view data, Error&) final
  {
    onData({ data.data(), data.size() });
    return data.size();
  }

  void on_chunk_header_impl(std::uint64_t size,
                            beast::string_view,
                            Error&) final
  {
    mChunkBytesLeft = size;
  }

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 beast::string_view data,
                                 Error&) final
  {
    mChunkBytesLeft -= data.size();
    onData({ data.data(), data.size() });
    return data.size();
  }

  void on_finish_impl(Error&) final {}
  // NOLINTEND(readability-identifier-naming)

  Headers mHeaders;
  int mVersion = 0;
  bool mHasHead = false;
  std::size_t mFields = 0;
  std::uint64_t mChunkBytesLeft = 0;
};

} // namespace lentilrack::net
