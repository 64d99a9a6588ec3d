#pragma once

#include "load/context.h"

#include <set>
#include <string>
#include <vector>

namespace lentilrack::load {

struct StepSpec
{
  std::string name;
  std::string kind;
  std::string model;
  /// Number of tokens per sample; one element for each group of samples.
  std::vector<std::int64_t> lengths;
  std::int64_t groupSize = 4;
  std::int64_t quorum = 4;
  /// Time that the trainer works on one sample.
  core::Millis workPerSample{ 0 };
};

struct StepResult
{
  bool isComplete = false;
  std::int64_t samples = 0;
  double millis = 0;
  /// Time that the trainer spent waiting for the replies to its pulls.
  double idleMillis = 0;
  std::int64_t tokens = 0;
};

/// Client of one trainer. Opens a step, pulls and checks its samples,
/// acknowledges them and closes the step. If a pull fails, reopens the step at
/// a random entry.
class TrainerClient
{
public:
  TrainerClient(Context& context, Report& report, std::string principal);

  net::Awaitable<StepResult> run(StepSpec spec);
  /// Sets the weight version that the next opens and pulls of a step request.
  void setRequestedVersion(std::int64_t version)
  {
    mRequestedVersion = version;
  }
  std::int64_t requestedVersion() const { return mRequestedVersion; }
  /// Sets the weight versions announced so far. A sample that was generated
  /// with any other version is a violation.
  void setAnnouncedVersions(std::set<std::int64_t> versions)
  {
    mAnnouncedVersions = std::move(versions);
  }

private:
  using SampleKey = std::pair<std::int64_t, std::int64_t>;

  net::Awaitable<bool> open(const StepSpec& spec);
  net::Awaitable<std::optional<wire::Json>> pull(const StepSpec& spec,
                                                 std::int64_t version);
  void check(const StepSpec& spec,
             const wire::Json& sample,
             std::int64_t version);
  wire::Json receivedSamples() const;

  Context& mContext;
  Report& mReport;
  std::string mPrincipal;
  core::Endpoint mHome;
  /// Number of the current opening. It grows each time that a step is opened or
  /// reopened, and all pulls and acknowledgements name it.
  std::int64_t mOpening = 0;
  std::int64_t mRequestedVersion = 1;
  std::set<std::int64_t> mAnnouncedVersions{ 1 };
  std::set<SampleKey> mReceivedSamples;
};

} // namespace lentilrack::load
