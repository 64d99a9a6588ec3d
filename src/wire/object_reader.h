#pragma once

#include "core/result.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lentilrack::wire {

using Json = nlohmann::json;

/// Describes which field of a message is invalid and why.
struct DecodeError
{
  /// Path of the field, such as "rows[2].weight"; empty for the whole message.
  std::string field;
  std::string message;

  /// Returns the error as a sentence without a final period.
  std::string text() const;
};

template<typename T>
using Decoded = core::Result<T, DecodeError>;

/// Used only inside codecs; the decode functions convert it to a DecodeError.
class DecodeException : public std::exception
{
public:
  explicit DecodeException(DecodeError error);
  const char* what() const noexcept override { return mText.c_str(); }
  const DecodeError& error() const { return mError; }

private:
  DecodeError mError;
  std::string mText;
};

/// Reads the fields of a JSON object strictly. A missing required field, a
/// wrong type or a number out of range throws a DecodeException that names the
/// field. rejectUnknownFields() throws one for a field that was not read.
class ObjectReader
{
public:
  /// Throws DecodeException if `value` is not an object. `path` prefixes the
  /// field names in errors.
  explicit ObjectReader(const Json& value, std::string path = "");
  /// The reader keeps a reference, so a temporary is not accepted.
  explicit ObjectReader(Json&& value, std::string path = "") = delete;

  /// Returns a required field. Throws DecodeException if it is missing or has
  /// the wrong type.
  template<typename T>
  T required(const char* name)
  {
    const Json* field = findField(name);
    if (field == nullptr) {
      fail(name, "is missing");
    }
    return convert<T>(*field, name);
  }

  /// Returns an optional field, or `fallback` if it is absent or null. Throws
  /// DecodeException if it has the wrong type.
  template<typename T>
  T optional(const char* name, T fallback)
  {
    const Json* field = findField(name);
    return field == nullptr || field->is_null() ? fallback
                                                : convert<T>(*field, name);
  }

  /// Returns an optional field; empty if it is absent or null. Throws
  /// DecodeException if it has the wrong type.
  template<typename T>
  std::optional<T> findValue(const char* name)
  {
    const Json* field = findField(name);
    return field == nullptr || field->is_null()
             ? std::nullopt
             : std::optional<T>(convert<T>(*field, name));
  }

  /// Returns a required integer. Throws DecodeException if it is missing, is no
  /// integer or lies outside [low, high].
  std::int64_t integer(const char* name, std::int64_t low, std::int64_t high);
  /// Returns an optional integer, or `fallback` if it is absent or null. Throws
  /// DecodeException if it is no integer or lies outside [low, high].
  std::int64_t integerOr(const char* name,
                         std::int64_t low,
                         std::int64_t high,
                         std::int64_t fallback);

  /// Returns a reader for a required field that is itself an object. The errors
  /// of that reader contain the path of both fields. Throws DecodeException if
  /// the field is missing or no object.
  ObjectReader nestedReader(const char* name);

  /// Returns the JSON value of a field, which then counts as read; null pointer
  /// if it is absent.
  const Json* findField(const char* name);

  /// Throws DecodeException if the object has a field that has not been read.
  void rejectUnknownFields() const;

  /// Throws a DecodeException with the path of the field and `message`.
  [[noreturn]] void fail(const char* name, std::string message) const;

private:
  template<typename T>
  T convert(const Json& field, const char* name) const
  {
    checkKind<T>(field, name);
    try {
      return field.get<T>();
    } catch (const Json::exception&) {
      fail(name, "has the wrong type");
    }
  }

  // The JSON library converts implicitly between numbers and booleans. A strict
  // codec must reject such input.
  template<typename T>
  void checkKind(const Json& field, const char* name) const
  {
    if constexpr (std::is_same_v<T, bool>) {
      if (!field.is_boolean()) {
        fail(name, "must be true or false");
      }
    } else if constexpr (std::is_integral_v<T>) {
      if (!field.is_number_integer()) {
        fail(name, "must be an integer");
      }
    } else if constexpr (std::is_floating_point_v<T>) {
      if (!field.is_number()) {
        fail(name, "must be a number");
      }
    }
  }

  const Json& mValue;
  std::string mPath;
  std::set<std::string, std::less<>> mReadFields;
};

/// Calls `read` and returns its result, or the error if it throws a
/// DecodeException.
template<typename Function>
auto
decodeWith(Function&& read) -> Decoded<decltype(read())>
{
  try {
    return read();
  } catch (const DecodeException& exception) {
    return exception.error();
  } catch (const Json::exception& exception) {
    return DecodeError{ "", exception.what() };
  }
}

/// Parses JSON text. The error contains the byte offset at which it is
/// malformed.
Decoded<Json>
parseJson(std::string_view text);

} // namespace lentilrack::wire
