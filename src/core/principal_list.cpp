#include "core/principal_list.h"

#include "core/row_fields.h"

#include <fmt/format.h>

#include <set>
#include <sstream>

namespace lentilrack::core {

namespace {

/// Parses one line. Returns nothing if it does not have the form "NAME ROLE".
std::optional<Principal>
readLine(const std::string& line)
{
  std::istringstream words(line);
  Principal principal;
  std::string role;
  std::string rest;
  const bool hasTwoWords = words >> principal.name >> role && !(words >> rest);
  const auto parsedRole = parseRole(role);
  if (!hasTwoWords || !parsedRole || !isValidName(principal.name)) {
    return std::nullopt;
  }
  principal.role = *parsedRole;
  return principal;
}

} // namespace

Result<std::vector<Principal>, FormatError>
readPrincipalList(std::string_view text)
{
  std::vector<Principal> principals;
  std::set<std::string> names;
  std::istringstream lines{ std::string(text) };
  std::string line;
  for (std::size_t number = 1; std::getline(lines, line); ++number) {
    if (line.starts_with("#") ||
        line.find_first_not_of(" \t\r") == std::string::npos) {
      continue;
    }
    auto principal = readLine(line);
    if (!principal) {
      return FormatError{ number,
                          1,
                          fmt::format("\"{}\" is not allowed; allowed: NAME "
                                      "ROLE with the role caller, trainer or "
                                      "operator",
                                      line) };
    }
    if (!names.insert(principal->name).second) {
      return FormatError{ number,
                          1,
                          "principal " + principal->name + " occurs twice" };
    }
    principals.push_back(std::move(*principal));
  }
  return principals;
}

} // namespace lentilrack::core
