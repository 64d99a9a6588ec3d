#include "core/organisations/organisation_directory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace lentilrack::core {

// Guards against a key that identifies the wrong organisation or none.
TEST(OrganisationDirectoryTest, EachKeyIdentifiesItsOrganisation)
{
  const OrganisationDirectory directory(
    { { "north", { "n1", "n2" }, 1 }, { "south", { "s1" }, std::nullopt } });
  EXPECT_EQ(directory.findByKey("n1")->name, "north");
  EXPECT_EQ(directory.findByKey("n2")->name, "north");
  EXPECT_EQ(directory.findByKey("n2")->priority, 1);
  EXPECT_EQ(directory.findByKey("s1")->name, "south");
  EXPECT_EQ(directory.findByKey("s"), nullptr);
  EXPECT_EQ(directory.findByKey("s1 "), nullptr);
  EXPECT_EQ(directory.findByKey(""), nullptr);
  EXPECT_EQ(directory.ignoredEntries(), 0U);
}

// Guards against running a request of one organisation in the name of another
// because both hold the same key.
TEST(OrganisationDirectoryTest, KeyOfTwoOrganisationsIdentifiesNobody)
{
  const OrganisationDirectory directory({ { "a", { "shared", "a1" }, {} },
                                          { "b", { "shared", "b1" }, {} },
                                          { "c", { "shared" }, {} } });
  EXPECT_EQ(directory.findByKey("shared"), nullptr);
  EXPECT_EQ(directory.findByKey("a1")->name, "a");
  EXPECT_EQ(directory.findByKey("b1")->name, "b");
  EXPECT_EQ(directory.ignoredEntries(), 1U);
}

// Guards against losing all organisations because some entries are malformed.
TEST(OrganisationDirectoryTest, MalformedEntriesAreIgnored)
{
  const OrganisationDirectory directory(
    { { "", { "k1" }, {} },
      { "line\nbreak", { "k2" }, {} },
      { "ok",
        { "", std::string(OrganisationDirectory::kMaxKeyBytes + 1, 'x'), "k3" },
        {} } });
  EXPECT_EQ(directory.size(), 1U);
  EXPECT_EQ(directory.findByKey("k1"), nullptr);
  EXPECT_EQ(directory.findByKey("k2"), nullptr);
  EXPECT_EQ(directory.findByKey("k3")->name, "ok");
  EXPECT_EQ(directory.ignoredEntries(), 4U);
}

// Guards against keys kept in the directory's list of organisations, which logs
// and dumps may contain.
TEST(OrganisationDirectoryTest, KeysAreNotKept)
{
  const std::vector<Organisation> organisations{ { "a", { "secret" }, {} } };
  const OrganisationDirectory directory(organisations);
  EXPECT_TRUE(directory.findByKey("secret")->apiKeys.empty());
}

// Guards against a lookup that differs from a plain scan of all keys, over
// random lists in which organisations and keys repeat.
RC_GTEST_PROP(OrganisationDirectoryTest, LookupAgreesWithAScan, ())
{
  const auto pairs = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 12)));
  std::vector<Organisation> organisations;
  std::map<std::string, std::set<std::string>> holders;
  for (const auto& [organisation, key] : pairs) {
    const auto name = "o" + std::to_string(organisation);
    const auto text = "k" + std::to_string(key);
    organisations.push_back({ name, { text }, {} });
    holders[text].insert(name);
  }
  const OrganisationDirectory directory(organisations);
  for (const auto& [key, names] : holders) {
    const auto* found = directory.findByKey(key);
    if (names.size() == 1) {
      RC_ASSERT(found != nullptr);
      RC_ASSERT(found->name == *names.begin());
    } else {
      RC_ASSERT(found == nullptr);
    }
  }
}

} // namespace lentilrack::core
