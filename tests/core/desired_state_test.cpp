#include "core/desired_state.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

Route
route(const std::string& name, const std::string& prefix)
{
  Route result;
  result.name = name;
  result.host = "Host.example";
  result.pathPrefix = prefix;
  result.targets = { { "a", 90 }, { "b", 10 } };
  return result;
}

} // namespace

// Guards against choosing the route with the shorter path prefix when a longer
// prefix of the same host matches too.
TEST(DesiredStateTest, LongestPrefixOfTheHostIsChosen)
{
  const DesiredState state(
    1, { route("short", "/x/"), route("long", "/x/y/") }, {}, {});
  EXPECT_EQ(state.findRoute("host.example:80", "/x/y/z?q=/x/")->name, "long");
  EXPECT_EQ(state.findRoute("HOST.example", "/x/yz")->name, "short");
  EXPECT_EQ(state.findRoute("host.example", "/x"), nullptr);
  EXPECT_EQ(state.findRoute("other.example", "/x/y/"), nullptr);
}

// Guards against shares that differ from the configured weights.
TEST(RouteTest, ServicesAreChosenByWeight)
{
  const auto split = route("r", "/");
  EXPECT_EQ(split.pickService(0), "a");
  EXPECT_EQ(split.pickService(0.89), "a");
  EXPECT_EQ(split.pickService(0.91), "b");
  EXPECT_EQ(split.pickService(0.999), "b");
  EXPECT_EQ(Route{}.pickService(0.5), "");
}

} // namespace lentilrack::core
