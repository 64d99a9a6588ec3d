#pragma once

#include "core/result.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lentilrack::wire {

using Json = nlohmann::json;

/// Says which field of a message was wrong and why.
struct DecodeError
{
  /// Path of the field, "rows[2].weight"; empty for the whole message.
  std::string field;
  std::string message;

  std::string text() const;
};

template<typename T>
using Decoded = core::Result<T, DecodeError>;

/// Thrown inside codecs only; decode functions turn it into a DecodeError.
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

/// Reads the fields of a JSON object strictly: a missing field, a wrong type
/// and, in rejectUnknownFields(), an unknown field are errors that name the
/// field.
class ObjectReader
{
public:
  /// Throws DecodeException if `value` is not an object. `path` prefixes the
  /// field names in errors.
  explicit ObjectReader(const Json& value, std::string path = "");
  /// The reader keeps a reference, so a temporary is not accepted.
  explicit ObjectReader(Json&& value, std::string path = "") = delete;

  template<typename T>
  T required(const char* name)
  {
    const Json* field = findField(name);
    if (field == nullptr) {
      fail(name, "is missing");
    }
    return convert<T>(*field, name);
  }

  /// The default if the field is absent or null.
  template<typename T>
  T optional(const char* name, T fallback)
  {
    const Json* field = findField(name);
    return field == nullptr || field->is_null() ? fallback
                                                : convert<T>(*field, name);
  }

  template<typename T>
  std::optional<T> findValue(const char* name)
  {
    const Json* field = findField(name);
    return field == nullptr || field->is_null()
             ? std::nullopt
             : std::optional<T>(convert<T>(*field, name));
  }

  /// A required integer in [low, high].
  std::int64_t integer(const char* name, std::int64_t low, std::int64_t high);
  std::int64_t integerOr(const char* name,
                         std::int64_t low,
                         std::int64_t high,
                         std::int64_t fallback);

  /// A reader of a required field that is an object.
  ObjectReader nested(const char* name);

  /// The raw field, or null if it is absent.
  const Json* findField(const char* name);

  /// Fails if the object has a field that was not asked for.
  void rejectUnknownFields() const;

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

  // The library converts freely between numbers and booleans; a codec that
  // checks its input must not.
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
  std::set<std::string, std::less<>> mAsked;
};

/// Runs `read` and turns a DecodeException into an error.
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

/// Parses JSON text; the error says at which byte it is malformed.
Decoded<Json>
parseJson(std::string_view text);

} // namespace lentilrack::wire
