#include "core/duties/leader_term.h"
#include "core/duties/usage_counter.h"
#include "core/duties/usage_ledger.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace lentilrack::core {

namespace {

constexpr Millis kStep{ 50 };
constexpr Millis kLeaseTime{ 2'000 };
constexpr Millis kRenewInterval{ 600 };
constexpr Millis kLeaderHandover{ 3'000 };
/// Longest time that a call to the provider is in transit.
constexpr int kMaxTransit = 300;
constexpr Millis kCallTimeout{ 1'000 };
constexpr std::size_t kProcesses = 3;
const std::string kOrganisation = "org";

/// How often faults begin, in steps of one process; 0 for never.
struct Faults
{
  int interval = 0;
};

/// A coordination store, a provider, and processes that elect a leader and
/// report usage, in simulated time. Random processes are frozen, cut off or
/// restarted, leases are revoked, and answers are late or lost.
class DutyModel
{
public:
  DutyModel(std::uint64_t seed, Faults faults)
    : mRandom(seed)
    , mFaults(faults)
  {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      start(i);
    }
  }

  void run(Millis duration)
  {
    const auto end = mNow + duration;
    for (; mNow < end; mNow += kStep) {
      runDue();
      expireLease();
      for (std::size_t i = 0; i < kProcesses; ++i) {
        injectFault(i);
        if (mNow >= mFrozenUntil[i]) {
          step(i);
        }
      }
    }
  }

  /// Windows whose report arrived in time.
  std::map<std::int64_t, UsageCounts> reports;
  /// Requests that were counted, by window.
  std::map<std::int64_t, std::int64_t> counted;
  /// Rules that were broken.
  std::vector<std::string> violations;
  std::size_t holders() const { return mTokens.size(); }

private:
  struct Key
  {
    std::int64_t revision = 0;
    std::size_t holder = 0;
    int incarnation = 0;
    bool isSettled = false;
    int lease = 0;
  };
  struct Process
  {
    int incarnation = 0;
    Millis startedAt{ 0 };
    /// What the process has seen of the leader key.
    std::optional<Key> leader;
    int lease = 0;
    Millis renewedAt{ 0 };
    Millis renewAt{ 0 };
    Millis noLeaderSince{ -1 };
    Millis settleAt{ 0 };
    Millis sendCountsAt{ 0 };
    std::int64_t dutyToken = 0;
    std::int64_t storedRevision = 0;
    bool isCalling = false;
    Millis orderAt{ 0 };
    LeaderTerm term{ kLeaderHandover };
    UsageCounter counter{ UsageWindows() };
    UsageLedger ledger{ UsageWindows(), UsageLedger::Limits() };
  };
  struct Arrival
  {
    Millis at;
    std::size_t holder = 0;
  };
  /// What the provider has received about one subject.
  struct Subject
  {
    std::int64_t lastToken = 0;
    std::vector<Arrival> arrivals;
  };

  static TimePoint at(Millis time) { return TimePoint(time); }
  int random(int limit)
  {
    return static_cast<int>(mRandom(static_cast<std::uint32_t>(limit)));
  }
  bool chance(int percent)
  {
    return mFaults.interval > 0 && random(100) < percent;
  }
  bool reaches(std::size_t i, const std::array<Millis, kProcesses>& cut) const
  {
    return mNow >= cut[i];
  }
  void later(Millis delay, std::function<void()> action)
  {
    mEvents.emplace(mNow + delay, std::move(action));
  }
  void runDue()
  {
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      auto event = mEvents.extract(mEvents.begin());
      event.mapped()();
    }
  }

  void start(std::size_t i)
  {
    mProcesses[i] = std::make_shared<Process>();
    mProcesses[i]->incarnation = ++mLastIncarnation;
    mProcesses[i]->startedAt = mNow;
  }

  void injectFault(std::size_t i)
  {
    if (mFaults.interval == 0 || random(mFaults.interval) != 0) {
      return;
    }
    const Millis length{ 200 + random(6'000) };
    switch (random(7)) {
      case 0:
        mFrozenUntil[i] = mNow + length;
        break;
      case 1:
        mStoreCutUntil[i] = mNow + length;
        break;
      case 2:
        mProviderCutUntil[i] = mNow + length;
        break;
      case 3:
        start(i);
        break;
      case 4:
        mLeaseEnds.clear();
        break;
      default:
        isolateLeader();
    }
  }

  /// Revokes the lease of the leader while it cannot notice, mostly several
  /// times in a row.
  void isolateLeader()
  {
    if (mKey) {
      mLeaseEnds.erase(mKey->lease);
      mStoreCutUntil[mKey->holder] = mNow + Millis(800 + random(1'200));
    }
    if (random(3) != 0) {
      later(Millis(800 + random(3'000)), [this] { isolateLeader(); });
    }
  }

  void expireLease()
  {
    const auto end = mKey ? mLeaseEnds.find(mKey->lease) : mLeaseEnds.end();
    if (mKey && (end == mLeaseEnds.end() || mNow >= end->second)) {
      mKey.reset();
    }
  }

  bool isSelf(std::size_t i) const
  {
    const auto& p = *mProcesses[i];
    return p.leader && p.leader->holder == i &&
           p.leader->incarnation == p.incarnation;
  }

  /// What gateway::Leadership checks right before the first byte.
  bool mayCall(std::size_t i, std::int64_t token) const
  {
    const auto& p = *mProcesses[i];
    return token != 0 && p.term.fencingToken() == token && p.leader &&
           p.leader->revision == token && p.lease != 0 &&
           mNow < p.renewedAt + LeaderTerm::kSendWindow &&
           p.term.mayCallProvider(at(mNow));
  }

  void step(std::size_t i)
  {
    auto& p = *mProcesses[i];
    keepLease(i, p);
    // The watch delivers changes at once or, with bad luck, late.
    if (reaches(i, mStoreCutUntil) && !chance(50)) {
      p.leader = mKey;
    }
    if (random(4) == 0) {
      p.counter.record(kOrganisation, mNow, mNow);
      ++counted[UsageWindows().windowAt(mNow)];
    }
    sendCounts(i, p);
    elect(i, p);
    report(i, p);
    order(i, p);
  }

  void keepLease(std::size_t i, Process& p)
  {
    if (mNow < p.renewAt || !reaches(i, mStoreCutUntil)) {
      return;
    }
    p.renewAt = mNow + kRenewInterval;
    if (p.lease != 0 && !mLeaseEnds.contains(p.lease)) {
      p.lease = 0;
      if (isSelf(i)) {
        p.leader.reset();
      }
    }
    p.lease = p.lease == 0 ? ++mLastLease : p.lease;
    mLeaseEnds[p.lease] = mNow + kLeaseTime;
    std::erase_if(mLeaseEnds,
                  [this](const auto& lease) { return mNow >= lease.second; });
    // The store has renewed the lease, but the answer may be lost.
    p.renewedAt = chance(10) ? p.renewedAt : mNow;
  }

  void sendCounts(std::size_t i, Process& p)
  {
    if (mNow < p.sendCountsAt) {
      return;
    }
    p.sendCountsAt = mNow + Millis(1'000);
    for (std::size_t to = 0; to < kProcesses; ++to) {
      const bool isLost = mNow < mFrozenUntil[to] || (to != i && chance(10));
      for (const auto& [window, known] : p.counter.windows()) {
        if (!isLost) {
          mProcesses[to]->ledger.merge(
            std::to_string(p.incarnation), window, known.counts, mNow);
        }
      }
    }
  }

  /// Writes the leader key, at once or later, with a lost answer or not.
  void writeKey(std::size_t i, std::int64_t condition, bool isSettled)
  {
    const auto& p = *mProcesses[i];
    const Key key{ 0, i, p.incarnation, isSettled, p.lease };
    later(Millis(chance(10) ? random(2'000) : 0), [this, key, condition, i] {
      const auto present = mKey ? mKey->revision : 0;
      if (present == condition && mLeaseEnds.contains(key.lease)) {
        mKey = key;
        mKey->revision = ++mRevision;
        auto& self = *mProcesses[i];
        if (self.incarnation == key.incarnation && !chance(10)) {
          self.leader = mKey;
        }
      }
    });
  }

  void elect(std::size_t i, Process& p)
  {
    if (!isSelf(i)) {
      p.term.end();
      const bool isOwn = p.leader && p.leader->holder == i;
      if ((p.leader && !isOwn) || p.lease == 0) {
        p.noLeaderSince = Millis(-1);
        return;
      }
      p.noLeaderSince = p.noLeaderSince < Millis(0) ? mNow : p.noLeaderSince;
      const auto stagger = Millis(300) * static_cast<int>(i);
      if ((isOwn || mNow - p.noLeaderSince >= stagger) &&
          reaches(i, mStoreCutUntil)) {
        p.noLeaderSince = Millis(-1);
        writeKey(
          i, isOwn ? p.leader->revision : 0, isOwn && p.leader->isSettled);
      }
      return;
    }
    if (p.term.fencingToken() != p.leader->revision) {
      p.term.begin(p.leader->revision, p.leader->isSettled, at(mNow));
    }
    if (!p.leader->isSettled && mNow >= p.settleAt &&
        p.term.weightOrderDelay().isHandoverOver(at(mNow)) &&
        reaches(i, mStoreCutUntil)) {
      p.settleAt = mNow + Millis(5'000);
      writeKey(i, p.leader->revision, true);
    }
  }

  /// What gateway::UsageReporter does.
  void report(std::size_t i, Process& p)
  {
    const auto token = p.term.fencingToken();
    if (token != p.dutyToken) {
      p.dutyToken = token;
      p.ledger.beginDuty();
    }
    p.ledger.dropOverdue(mNow);
    p.counter.dropOverdue(mNow);
    if (token == 0 || p.isCalling) {
      return;
    }
    const bool reachesStore = reaches(i, mStoreCutUntil);
    if (p.ledger.mustRead() && reachesStore) {
      p.storedRevision = mRecordRevision;
      p.ledger.setStored(mRecord, p.startedAt, mNow);
    }
    if (!mayCall(i, token)) {
      return;
    }
    if (auto record = p.ledger.nextRecord(mNow); record && reachesStore) {
      writeRecord(p, token, std::move(*record));
    }
    if (const auto next = p.ledger.nextReport(mNow)) {
      call(i, token, next->first, next->second);
    }
  }

  void writeRecord(Process& p, std::int64_t token, StoredUsage record)
  {
    const auto execute = [this, token, condition = p.storedRevision, record] {
      const bool holds =
        mKey && mKey->revision == token && mRecordRevision == condition;
      if (holds) {
        mRecord = record;
        mRecordRevision = ++mRevision;
      }
      return holds;
    };
    if (chance(10)) {
      later(Millis(random(2'000)), execute);
      p.ledger.markUnknown();
    } else if (execute() && !chance(10)) {
      p.storedRevision = mRecordRevision;
      p.ledger.recordStored(std::move(record));
    } else {
      p.ledger.markUnknown();
    }
  }

  void call(std::size_t i,
            std::int64_t token,
            std::int64_t window,
            const UsageCounts& counts)
  {
    const auto process = mProcesses[i];
    process->isCalling = true;
    const bool isAnswered = !chance(20);
    const bool isReceived = reaches(i, mProviderCutUntil) && !chance(10);
    const Millis transit{ random(kMaxTransit) };
    if (isReceived) {
      later(transit, [=, this] { receive(i, token, window, counts); });
    }
    const auto end = isReceived && isAnswered ? 2 * transit : kCallTimeout;
    later(end, [=, this] {
      process->isCalling = false;
      if (isReceived && isAnswered) {
        process->ledger.recordReceived(window);
      } else {
        process->ledger.recordFailed(mNow);
      }
    });
  }

  /// Orders servers often, so that the rules on the order of calls are tested
  /// with more calls than usage reports make.
  void order(std::size_t i, Process& p)
  {
    const auto token = p.term.fencingToken();
    if (mNow < p.orderAt || !mayCall(i, token)) {
      return;
    }
    p.orderAt = mNow + Millis(kMaxTransit);
    if (reaches(i, mProviderCutUntil)) {
      later(Millis(random(kMaxTransit)),
            [=, this] { checkCall(mOrders, i, token); });
    }
  }

  void receive(std::size_t holder,
               std::int64_t token,
               std::int64_t window,
               const UsageCounts& counts)
  {
    checkCall(mReports, holder, token);
    if (mContents.try_emplace(window, counts).first->second != counts) {
      violations.emplace_back("two reports of one window differ");
    }
    if (!UsageWindows().isOverdue(window, mNow)) {
      reports[window] = counts;
    }
  }

  void checkCall(Subject& subject, std::size_t holder, std::int64_t token)
  {
    if (token < subject.lastToken) {
      violations.emplace_back("a lower token follows a higher one");
    }
    subject.lastToken = std::max(subject.lastToken, token);
    if (mTokens.try_emplace(token, holder).first->second != holder) {
      violations.emplace_back("two holders use one token");
    }
    const auto end = subject.arrivals.rend();
    const auto other =
      std::find_if(subject.arrivals.rbegin(), end, [&](const auto& arrival) {
        return arrival.holder != holder;
      });
    const auto own = std::find_if(other, end, [&](const auto& arrival) {
      return arrival.holder == holder;
    });
    if (own != end && mNow - own->at < kLeaderHandover) {
      violations.emplace_back("a holder acts again too early");
    }
    subject.arrivals.push_back({ mNow, holder });
  }

  pcg32 mRandom;
  Faults mFaults;
  /// Unix time; the first window begins then.
  Millis mNow{ 1'000'000 };
  std::multimap<Millis, std::function<void()>> mEvents;
  std::array<std::shared_ptr<Process>, kProcesses> mProcesses;
  std::array<Millis, kProcesses> mFrozenUntil{};
  std::array<Millis, kProcesses> mStoreCutUntil{};
  std::array<Millis, kProcesses> mProviderCutUntil{};
  std::optional<Key> mKey;
  std::map<int, Millis> mLeaseEnds;
  int mLastLease = 0;
  int mLastIncarnation = 0;
  std::int64_t mRevision = 0;
  std::optional<StoredUsage> mRecord;
  std::int64_t mRecordRevision = 0;
  Subject mReports;
  Subject mOrders;
  std::map<std::int64_t, std::size_t> mTokens;
  std::map<std::int64_t, UsageCounts> mContents;
};

} // namespace

// Guards against windows that are late or incomplete although nothing fails.
TEST(DutyModel, EveryWindowIsReportedWithoutFaults)
{
  DutyModel model(1, {});
  model.run(Millis(60'000));
  const auto first = UsageWindows().windowAt(Millis(1'000'000));
  for (auto window = first; window < first + 11; ++window) {
    ASSERT_TRUE(model.reports.contains(window)) << window - first;
    EXPECT_EQ(model.reports[window][kOrganisation], model.counted[window]);
  }
  EXPECT_TRUE(model.violations.empty());
}

// Guards against two different reports of a window, tokens that decrease, and
// holders that act in the order A, B, A, whatever fails and in which order.
TEST(DutyModel, NoScheduleBreaksTheRulesOfTheProvider)
{
  constexpr std::uint64_t kSchedules = 2'000;
  std::size_t reports = 0;
  std::size_t holders = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    DutyModel model(seed, { 20 + static_cast<int>(seed % 5) * 60 });
    model.run(Millis(45'000));
    ASSERT_TRUE(model.violations.empty())
      << "seed " << seed << ": " << model.violations.front();
    reports += model.reports.size();
    holders += model.holders();
  }
  // The schedules are of no use if there is no report or no change of holders.
  EXPECT_GT(reports, 2 * kSchedules);
  EXPECT_GT(holders, 2 * kSchedules);
}

} // namespace lentilrack::core
