#include "net/settings.h"

#include "core/decimal.h"

#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace lentilrack::net {

namespace {

constexpr int kUsageError = 2;
constexpr int kHelpCode = 1;
constexpr int kVersionCode = 2;
constexpr int kFirstSettingCode = 100;

std::string
environmentName(const std::string& flag)
{
  std::string name = "LENTILRACK_" + flag;
  std::ranges::transform(name, name.begin(), [](unsigned char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(c));
  });
  return name;
}

std::optional<std::int64_t>
parseInteger(const std::string& text, std::int64_t low, std::int64_t high)
{
  const auto value = core::parseDecimal<std::int64_t>(text);
  return value && *value >= low && *value <= high ? value : std::nullopt;
}

std::optional<std::vector<core::Endpoint>>
parseEndpoints(const std::string& text)
{
  std::vector<core::Endpoint> endpoints;
  std::size_t start = 0;
  while (start < text.size()) {
    const auto comma = std::min(text.find(',', start), text.size());
    const auto endpoint =
      core::Endpoint::parse(text.substr(start, comma - start));
    if (!endpoint) {
      return std::nullopt;
    }
    endpoints.push_back(*endpoint);
    start = comma + 1;
  }
  return endpoints;
}

std::string
joined(const std::vector<std::string>& values)
{
  return fmt::format("{}", fmt::join(values, ", "));
}

} // namespace

SettingsBuilder::SettingsBuilder(std::string program, std::string summary)
  : mProgram(std::move(program))
  , mSummary(std::move(summary))
{
}

SettingsBuilder&
SettingsBuilder::text(std::string name, std::string* target, std::string help)
{
  mSettings.push_back({ std::move(name),
                        std::move(help),
                        "text",
                        [target](const std::string& value) {
                          *target = value;
                          return true;
                        },
                        true,
                        {} });
  return *this;
}

SettingsBuilder&
SettingsBuilder::requiredText(std::string name,
                              std::string* target,
                              std::string help)
{
  text(std::move(name), target, std::move(help));
  mSettings.back().allowed = "text that is not empty";
  mSettings.back().isMissing = [target] { return target->empty(); };
  return *this;
}

SettingsBuilder&
SettingsBuilder::integer(std::string name,
                         std::int64_t* target,
                         std::int64_t low,
                         std::int64_t high,
                         std::string help)
{
  const auto parser = [target, low, high](const std::string& value) {
    const auto number = parseInteger(value, low, high);
    *target = number.value_or(*target);
    return number.has_value();
  };
  mSettings.push_back({ std::move(name),
                        std::move(help),
                        fmt::format("{} to {}", low, high),
                        parser,
                        true,
                        {} });
  return *this;
}

SettingsBuilder&
SettingsBuilder::millis(std::string name,
                        core::Millis* target,
                        core::Millis low,
                        core::Millis high,
                        std::string help)
{
  const auto parser = [target, low, high](const std::string& value) {
    const auto number = parseInteger(value, low.count(), high.count());
    *target = number ? core::Millis(*number) : *target;
    return number.has_value();
  };
  mSettings.push_back({ std::move(name),
                        std::move(help),
                        fmt::format("{} to {} ms", low.count(), high.count()),
                        parser,
                        true,
                        {} });
  return *this;
}

SettingsBuilder&
SettingsBuilder::endpoint(std::string name,
                          core::Endpoint* target,
                          std::string help)
{
  const auto parser = [target](const std::string& value) {
    const auto endpoint = core::Endpoint::parse(value);
    *target = endpoint.value_or(*target);
    return endpoint.has_value();
  };
  mSettings.push_back({ std::move(name),
                        std::move(help),
                        "an IP address with a port",
                        parser,
                        true,
                        {} });
  return *this;
}

SettingsBuilder&
SettingsBuilder::endpoints(std::string name,
                           std::vector<core::Endpoint>* target,
                           std::string help)
{
  const auto parser = [target](const std::string& value) {
    auto endpoints = parseEndpoints(value);
    if (!endpoints) {
      return false;
    }
    *target = std::move(*endpoints);
    return true;
  };
  mSettings.push_back({ std::move(name),
                        std::move(help),
                        "IP addresses with ports, separated by commas",
                        parser,
                        true,
                        {} });
  return *this;
}

SettingsBuilder&
SettingsBuilder::choice(std::string name,
                        std::string* target,
                        std::vector<std::string> allowed,
                        std::string help)
{
  const auto list = joined(allowed);
  const auto parser = [target, allowed](const std::string& value) {
    if (std::ranges::find(allowed, value) == allowed.end()) {
      return false;
    }
    *target = value;
    return true;
  };
  mSettings.push_back(
    { std::move(name), std::move(help), list, parser, true, {} });
  return *this;
}

SettingsBuilder&
SettingsBuilder::toggle(std::string name, bool* target, std::string help)
{
  const auto parser = [target](const std::string& value) {
    *target = value != "0";
    return value == "0" || value == "1";
  };
  mSettings.push_back(
    { std::move(name), std::move(help), "0 or 1", parser, false, {} });
  return *this;
}

SettingsBuilder&
SettingsBuilder::arguments(std::vector<std::string>* target,
                           std::string description)
{
  mArguments = target;
  mArgumentsHelp = std::move(description);
  return *this;
}

std::optional<int>
SettingsBuilder::parse(int argc, const char* const* argv) const
{
  if (const auto code = readEnvironment()) {
    return code;
  }
  if (const auto code = readCommandLine(argc, argv)) {
    return code;
  }
  const auto missing = std::ranges::find_if(
    mSettings, [](const Setting& s) { return s.isMissing && s.isMissing(); });
  return missing == mSettings.end() ? std::nullopt
                                    : std::optional(reject(*missing, ""));
}

std::optional<int>
SettingsBuilder::readEnvironment() const
{
  for (const auto& setting : mSettings) {
    const char* value = std::getenv(environmentName(setting.name).c_str());
    if (value != nullptr && !setting.parser(value)) {
      return reject(setting, value);
    }
  }
  return std::nullopt;
}

std::optional<int>
SettingsBuilder::readCommandLine(int argc, const char* const* argv) const
{
  std::vector<poptOption> options;
  for (std::size_t i = 0; i < mSettings.size(); ++i) {
    options.push_back(
      { mSettings[i].name.c_str(),
        '\0',
        mSettings[i].takesValue ? POPT_ARG_STRING : POPT_ARG_NONE,
        nullptr,
        kFirstSettingCode + static_cast<int>(i),
        nullptr,
        nullptr });
  }
  options.push_back(
    { "help", 'h', POPT_ARG_NONE, nullptr, kHelpCode, nullptr, nullptr });
  options.push_back({ "version",
                      '\0',
                      POPT_ARG_NONE,
                      nullptr,
                      kVersionCode,
                      nullptr,
                      nullptr });
  options.push_back({ nullptr, '\0', 0, nullptr, 0, nullptr, nullptr });

  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext(mProgram.c_str(),
                   argc,
                   const_cast<const char**>(argv),
                   options.data(),
                   0),
    &poptFreeContext);
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) > 0) {
    if (code == kHelpCode) {
      fmt::print("{}", helpText());
      return 0;
    }
    if (code == kVersionCode) {
      fmt::print("{} {}\n", mProgram, LENTILRACK_VERSION);
      return 0;
    }
    const auto& setting =
      mSettings.at(static_cast<std::size_t>(code - kFirstSettingCode));
    const std::unique_ptr<char, decltype(&std::free)> argument(
      poptGetOptArg(context.get()), &std::free);
    const std::string value = argument ? argument.get() : "1";
    if (!setting.parser(value)) {
      return reject(setting, value);
    }
  }
  if (code < -1) {
    fmt::print(stderr,
               "{}: {}: {}. See --help.\n",
               mProgram,
               poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
               poptStrerror(code));
    return kUsageError;
  }
  while (const char* argument = poptGetArg(context.get())) {
    if (mArguments == nullptr) {
      fmt::print(stderr,
                 "{}: unexpected argument \"{}\". See --help.\n",
                 mProgram,
                 argument);
      return kUsageError;
    }
    mArguments->emplace_back(argument);
  }
  return std::nullopt;
}

int
SettingsBuilder::reject(const Setting& setting, const std::string& value) const
{
  fmt::print(stderr,
             "{}: --{}: \"{}\" is not allowed; allowed: {}\n",
             mProgram,
             setting.name,
             value,
             setting.allowed);
  return kUsageError;
}

std::string
SettingsBuilder::helpText() const
{
  std::string text =
    fmt::format("{}: {}\n\nUsage: {} [flags]{}\n\n",
                mProgram,
                mSummary,
                mProgram,
                mArguments == nullptr ? std::string() : " " + mArgumentsHelp);
  for (const auto& setting : mSettings) {
    text += fmt::format("  --{:<22} {}\n{:27}allowed: {}; environment: {}\n",
                        setting.name,
                        setting.help,
                        "",
                        setting.allowed,
                        environmentName(setting.name));
  }
  text += fmt::format("  --{:<22} shows this text\n", "help");
  text += fmt::format("  --{:<22} shows the version\n", "version");
  return text;
}

} // namespace lentilrack::net
