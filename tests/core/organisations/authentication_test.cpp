#include "core/organisations/authentication.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

using Outcome = AuthenticationOutcome;

class AuthenticationTest : public ::testing::Test
{
protected:
  Outcome outcome(const std::vector<std::string_view>& credentials,
                  bool isPublic = false) const
  {
    return authenticate(&mDirectory, credentials, isPublic).outcome;
  }

  OrganisationDirectory mDirectory{ { { "north", { "n1" }, {} },
                                      { "south", { "s1" }, {} } } };
};

} // namespace

// Guards against asking for keys in a deployment without organisations.
TEST_F(AuthenticationTest, NoKeyIsRequiredWithoutOrganisations)
{
  EXPECT_EQ(authenticate(nullptr, { "Bearer n1" }, false).outcome,
            Outcome::NotRequired);
  EXPECT_EQ(authenticate(nullptr, {}, false).organisation, "");
}

// Guards against rejecting a valid key because of the case of the scheme.
TEST_F(AuthenticationTest, ValidKeyIdentifiesTheOrganisation)
{
  EXPECT_EQ(authenticate(&mDirectory, { "Bearer s1" }, false).organisation,
            "south");
  EXPECT_EQ(outcome({ "bEARER  n1" }), Outcome::Identified);
  EXPECT_EQ(outcome({ "Bearer n1" }, true), Outcome::Identified);
}

// Guards against serving a request whose key cannot be determined.
TEST_F(AuthenticationTest, MissingMalformedAndRepeatedKeysAreRejected)
{
  EXPECT_EQ(outcome({}), Outcome::MissingKey);
  for (const auto* header : { "",
                              "n1",
                              "Bearer",
                              "Bearer ",
                              "Basic n1",
                              "Bearer n1,s1",
                              "Bearern1" }) {
    EXPECT_EQ(outcome({ header }), Outcome::InvalidKey) << header;
  }
  EXPECT_EQ(outcome({ "Bearer n1", "Bearer n1" }), Outcome::InvalidKey);
  EXPECT_EQ(outcome({ "Bearer n1", "Bearer s1" }), Outcome::InvalidKey);
}

// Guards against rejecting callers of public routes.
TEST_F(AuthenticationTest, PublicRoutesNeedNoKey)
{
  EXPECT_EQ(outcome({}, true), Outcome::Anonymous);
  EXPECT_EQ(outcome({ "Bearer unknown" }, true), Outcome::Anonymous);
}

// Guards against batches of two organisations that share an id, and against a
// change of the stored id, which would hide batches of earlier versions.
TEST(ScopedBatchIdTest, EqualIdsOfTwoOrganisationsDiffer)
{
  EXPECT_EQ(scopedBatchId("", "b1"), "b1");
  EXPECT_NE(scopedBatchId("a", "b1"), scopedBatchId("b", "b1"));
  const auto id = scopedBatchId("a", "b1");
  EXPECT_EQ(id, scopedBatchId("a", "b1"));
  EXPECT_TRUE(id.ends_with("~b1"));
  EXPECT_EQ(id.find('~'), 32U);
}

} // namespace lentilrack::core
