#include "ctl/ctl_app.h"

#include "entry/admin_fixture.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace lentilrack::ctl {

namespace {

using core::testing::smallTable;
using net::Awaitable;

/// Runs commands against the administration API of an entry.
class CtlAppTest : public entry::testing::AdminFixture
{
protected:
  CtlAppTest()
    : mDirectory(std::filesystem::path(::testing::TempDir()) /
                 ("ctl-" + std::to_string(::getpid())))
  {
    std::filesystem::create_directories(mDirectory);
  }
  ~CtlAppTest() override { std::filesystem::remove_all(mDirectory); }

  std::string file(const std::string& name, const std::string& content) const
  {
    const auto path = mDirectory / name;
    std::ofstream(path) << content;
    return path;
  }

  /// Runs a command and returns the exit code. The output is in mOut and
  /// mError.
  Awaitable<int> command(std::vector<std::string> words)
  {
    mOut.clear();
    mError.clear();
    mSettings.entries = { mEndpoint };
    mSettings.token = "token of root";
    mSettings.arguments = std::move(words);
    Console console;
    console.out = [this](const std::string& text) { mOut += text; };
    console.error = [this](const std::string& text) { mError += text; };
    console.confirm = [this](const std::string&) { return mConfirms; };
    CtlApp app(mIo, mSettings, std::move(console));
    co_return co_await app.run();
  }

  std::filesystem::path mDirectory;
  CtlSettings mSettings;
  bool mConfirms = true;
  std::string mOut;
  std::string mError;
};

} // namespace

// Guards against applying a change that the operator has declined.
TEST_F(CtlAppTest, SetShowsTheChangeAndAsks)
{
  run([this]() -> Awaitable<void> {
    co_await install(smallTable());
    mConfirms = false;
    std::vector<std::string> words{ "table", "set", "carl/*", "weight=3" };
    auto code = co_await command(words);
    EXPECT_EQ(code, kExitFailure);
    EXPECT_EQ(mOut, "~ row carl/* weight 1 -> 3\n");
    EXPECT_EQ(mReplica.revision(), 1);
    mConfirms = true;
    mSettings.wait = true;
    code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess) << mError;
    EXPECT_NE(mOut.find("Accepted as revision 2.\n"), std::string::npos);
    EXPECT_NE(mOut.find("Revision 2 is in force everywhere.\n"),
              std::string::npos);
    code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess);
    EXPECT_EQ(mOut, "Nothing to change.\n");
  });
}

TEST_F(CtlAppTest, RowsAndPrincipalsAreAddedAndRemoved)
{
  run([this]() -> Awaitable<void> {
    co_await install(smallTable());
    std::vector<std::string> words{ "principal", "set", "dora", "caller" };
    auto code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess) << mError;
    const std::string mark = "Token, shown only now: ";
    const auto token = mOut.substr(mOut.find(mark) + mark.size(), 43);
    const auto* dora = mReplica.table().authenticate(token);
    EXPECT_TRUE(dora != nullptr && dora->name == "dora");
    words = { "table", "set", "dora/order", "weight=9" };
    code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess) << mError;
    words = { "principal", "remove", "dora" };
    code = co_await command(words);
    EXPECT_EQ(code, kExitFailure);
    EXPECT_EQ(mError,
              "lentilrackctl: invalid: row dora/order refers to an unknown "
              "principal\n");
    words = { "table", "remove", "dora/order" };
    code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess) << mError;
    words = { "principal", "remove", "dora" };
    code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess) << mError;
    EXPECT_TRUE(core::hasSameContent(mReplica.table(), smallTable()));
  });
}

// Guards against a failing wait and a new token that is not shown, when an
// operator replaces their own token with --wait: the entry then rejects the old
// token during the wait.
TEST_F(CtlAppTest, ReplacingTheOwnTokenShowsTheNewOne)
{
  run([this]() -> Awaitable<void> {
    co_await install(smallTable());
    mSettings.wait = true;
    const std::vector<std::string> words{
      "principal", "set", "root", "operator"
    };
    const auto code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess) << mError;
    EXPECT_NE(mOut.find("Token, shown only now: "), std::string::npos);
    EXPECT_NE(mOut.find("in force everywhere"), std::string::npos) << mOut;
  });
}

// Guards against a table that differs from the original, when an import changed
// it and an earlier revision is restored.
TEST_F(CtlAppTest, ExportImportAndRestoreGiveOriginalTable)
{
  run([this]() -> Awaitable<void> {
    co_await install(smallTable());
    std::vector<std::string> words{ "table", "set", "carl/*", "weight=3" };
    co_await command(words);
    const auto original = mReplica.table();
    words = { "table", "export" };
    auto code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess);
    const auto exported = file("rows.csv", mOut);
    const auto other = file("other.csv", "principal,kind\nroot,*\n");
    words = { "table", "import", other };
    mSettings.dryRun = true;
    code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess);
    EXPECT_EQ(mReplica.revision(), 2);
    mSettings.dryRun = false;
    code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess) << mError;
    EXPECT_EQ(mReplica.revision(), 3);
    words = { "table", "restore", "2" };
    code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess) << mError;
    EXPECT_EQ(mReplica.revision(), 4);
    EXPECT_TRUE(core::hasSameContent(mReplica.table(), original));
    words = { "table", "import", exported };
    code = co_await command(words);
    EXPECT_EQ(mOut, "Nothing to change.\n");
    words = { "table", "restore", "77" };
    code = co_await command(words);
    EXPECT_EQ(code, kExitFailure);
  });
}

// Guards against overwriting an existing table when bootstrap is run again.
TEST_F(CtlAppTest, BootstrapWritesOnlyTheFirstTable)
{
  run([this]() -> Awaitable<void> {
    mSettings.kv = { mKvService.server().endpoint() };
    mSettings.tableFile = file("rows.csv", "principal,kind\nshop,*\n");
    mSettings.principalsFile = file(
      "principals.csv", "name,role,token\nroot,operator,r\nshop,caller,s\n");
    const std::vector<std::string> words{ "bootstrap" };
    auto code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess) << mError;
    const auto entry = co_await mKv.read(node::kTableKey);
    const auto table = wire::decodeTable(entry.value().value).value();
    EXPECT_EQ(table.revision, 1);
    EXPECT_EQ(table.authenticate("r")->name, "root");
    code = co_await command(words);
    EXPECT_EQ(code, kExitFailure);
    EXPECT_NE(mError.find("there is a table already"), std::string::npos);
    // If the key was lost, bootstrap must write a higher revision than the lost
    // table had, because instances that still have this table in force ignore
    // lower revisions.
    co_await mKv.remove(node::kTableKey);
    code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess) << mError;
    EXPECT_NE(mError.find("as revision 2,"), std::string::npos) << mError;
  });
}

// Guards against bootstrap reporting a failure, without showing the new tokens,
// when the service wrote the table but its reply was lost.
TEST_F(CtlAppTest, BootstrapReadsBackAfterALostReply)
{
  run([this]() -> Awaitable<void> {
    mSettings.kv = { mKvService.server().endpoint() };
    mSettings.tableFile = file("rows.csv", "principal,kind\n");
    mSettings.principalsFile = file("principals", "root operator\n");
    co_await control(R"({"lose_replies":1})");
    const std::vector<std::string> words{ "bootstrap" };
    const auto code = co_await command(words);
    EXPECT_EQ(code, kExitSuccess) << mError;
    EXPECT_EQ(mOut.find("root operator "), 0) << mOut;
    EXPECT_EQ(mOut.size(), std::string("root operator \n").size() + 43);
  });
}

TEST_F(CtlAppTest, WrongUsageSaysWhatIsAllowed)
{
  run([this]() -> Awaitable<void> {
    co_await install(smallTable());
    const std::vector<std::vector<std::string>> wrong{
      { "table", "set", "carl", "weight=1" },
      { "table", "set", "carl/*", "colour=1" },
      { "table", "set", "carl/*", "weight=0" },
      { "table", "restore", "last" },
      { "principal", "set", "dora", "king" },
      { "table", "import", "no-such-file" },
      { "bootstrap" },
    };
    for (const auto& words : wrong) {
      const auto code = co_await command(words);
      EXPECT_EQ(code, kExitUsage) << words.back();
    }
    const std::vector<std::string> words{ "table", "show" };
    mEndpoint.port = 1;
    const auto code = co_await command(words);
    EXPECT_EQ(code, kExitFailure);
    EXPECT_EQ(mError.find("lentilrackctl: no entry instance answered: "), 0)
      << mError;
  });
}

} // namespace lentilrack::ctl
