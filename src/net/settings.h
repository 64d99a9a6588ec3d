#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::net {

/// Builds a program's settings. Every setting is a flag (`--kv-address`) and an
/// environment variable (`LENTILRACK_KV_ADDRESS`); the flag takes precedence.
/// An invalid value is reported with the flag, the value and the allowed
/// values.
class SettingsBuilder
{
public:
  /// Parses and stores a value. Returns false if it is not allowed.
  using Parser = std::function<bool(const std::string&)>;

  SettingsBuilder(std::string program, std::string summary);

  SettingsBuilder& text(std::string name,
                        std::string* target,
                        std::string help);
  /// Adds a text setting that must not be empty.
  SettingsBuilder& requiredText(std::string name,
                                std::string* target,
                                std::string help);
  SettingsBuilder& integer(std::string name,
                           std::int64_t* target,
                           std::int64_t low,
                           std::int64_t high,
                           std::string help);
  SettingsBuilder& millis(std::string name,
                          core::Millis* target,
                          core::Millis low,
                          core::Millis high,
                          std::string help);
  SettingsBuilder& endpoint(std::string name,
                            core::Endpoint* target,
                            std::string help);
  /// Adds a list of comma-separated "address:port".
  SettingsBuilder& endpoints(std::string name,
                             std::vector<core::Endpoint>* target,
                             std::string help);
  SettingsBuilder& choice(std::string name,
                          std::string* target,
                          std::vector<std::string> allowed,
                          std::string help);
  /// Adds a switch: a flag without a value, "1" or "0" in the environment.
  SettingsBuilder& toggle(std::string name, bool* target, std::string help);
  /// Stores the positional arguments in `target`. Without this call, parse()
  /// rejects positional arguments.
  SettingsBuilder& arguments(std::vector<std::string>* target,
                             std::string description);

  /// Reads the environment and the command line. Returns an exit code if the
  /// program should exit: 0 after --help and --version, 2 after an error.
  std::optional<int> parse(int argc, const char* const* argv) const;

private:
  struct Setting
  {
    std::string name;
    std::string help;
    /// Description of the allowed values, for help and errors.
    std::string allowed;
    Parser parser;
    bool takesValue = true;
    std::function<bool()> isMissing;
  };

  std::optional<int> readEnvironment() const;
  std::optional<int> readCommandLine(int argc, const char* const* argv) const;
  int reject(const Setting& setting, const std::string& value) const;
  std::string helpText() const;

  std::string mProgram;
  std::string mSummary;
  std::vector<Setting> mSettings;
  std::vector<std::string>* mArguments = nullptr;
  std::string mArgumentsHelp;
};

} // namespace lentilrack::net
