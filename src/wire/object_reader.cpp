#include "wire/object_reader.h"

#include <algorithm>

namespace lentilrack::wire {

std::string
DecodeError::text() const
{
  return field.empty() ? message : "field \"" + field + "\" " + message;
}

DecodeException::DecodeException(DecodeError error)
  : mError(std::move(error))
  , mText(mError.text())
{
}

ObjectReader::ObjectReader(const Json& value, std::string path)
  : mValue(value)
  , mPath(std::move(path))
{
  if (!value.is_object()) {
    throw DecodeException({ mPath, "must be an object" });
  }
}

std::int64_t
ObjectReader::integer(const char* name, std::int64_t low, std::int64_t high)
{
  const auto value = required<std::int64_t>(name);
  if (value < low || value > high) {
    fail(name,
         "must be " + std::to_string(low) + " to " + std::to_string(high) +
           ", not " + std::to_string(value));
  }
  return value;
}

std::int64_t
ObjectReader::integerOr(const char* name,
                        std::int64_t low,
                        std::int64_t high,
                        std::int64_t fallback)
{
  const Json* field = findField(name);
  return field == nullptr || field->is_null() ? fallback
                                              : integer(name, low, high);
}

ObjectReader
ObjectReader::nestedReader(const char* name)
{
  const Json* field = findField(name);
  if (field == nullptr) {
    fail(name, "is missing");
  }
  return ObjectReader(*field, mPath.empty() ? name : mPath + "." + name);
}

const Json*
ObjectReader::findField(const char* name)
{
  mReadFields.insert(name);
  const auto found = mValue.find(name);
  return found == mValue.end() ? nullptr : &*found;
}

void
ObjectReader::rejectUnknownFields() const
{
  for (const auto& [name, value] : mValue.items()) {
    if (!mReadFields.contains(name)) {
      fail(name.c_str(), "is not known");
    }
  }
}

void
ObjectReader::fail(const char* name, std::string message) const
{
  throw DecodeException(
    { mPath.empty() ? name : mPath + "." + name, std::move(message) });
}

Decoded<Json>
parseJson(std::string_view text)
{
  try {
    return Json::parse(text);
  } catch (const Json::parse_error& error) {
    return DecodeError{
      "", "is not valid JSON at byte " + std::to_string(error.byte)
    };
  }
}

} // namespace lentilrack::wire
