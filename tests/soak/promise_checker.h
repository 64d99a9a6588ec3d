#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::soak {

/// A request as its caller has sent it.
struct SentRequest
{
  /// Organisation of the key; empty if the request must not run.
  std::string organisation;
  bool isRepeatable = true;
  /// Whether the key was valid at every moment of the run.
  bool hasPermanentKey = false;
};

/// Checks what callers, backend servers and the provider have seen against the
/// guarantees of the system. Each violation is recorded as a line of text.
class PromiseChecker
{
public:
  void requestSent(const std::string& id, SentRequest request);
  /// `isWhole` tells whether a successful response is that of the request.
  void requestAnswered(const std::string& id, int status, bool isWhole);

  void batchSubmitted(const std::string& id, const std::string& organisation);
  void batchAnswered(const std::string& id, int status);
  /// `isOwn` tells whether a key of the batch's organisation was used.
  void batchRead(const std::string& id, int status, bool isOwn);
  /// Checks a result against the earlier reads of its position.
  void resultRead(const std::string& batch,
                  std::size_t position,
                  const std::string& item,
                  const std::string& result);

  /// A server has run a request or an item. `batch` is empty for a request.
  void serverRan(const std::string& id,
                 const std::string& batch,
                 const std::string& organisation);
  void serverSawKey(const std::string& id);

  /// The provider has accepted the counts of a window.
  void usageAccepted(std::int64_t window, const std::string& counts);
  /// A call with a fencing token has arrived for a subject. `isExcused` is true
  /// if the sender was stopped or cut off just before.
  void dutyCallArrived(const std::string& subject,
                       const std::string& holder,
                       std::int64_t fencingToken,
                       bool isExcused);
  void addViolation(std::string text);

  /// Makes the checks that need the whole run.
  void finish();
  const std::vector<std::string>& violations() const { return mViolations; }
  std::size_t servedRequests() const { return mServed; }
  std::size_t sentRequests() const { return mRequests.size(); }
  std::size_t readResults() const { return mReadResults; }
  std::size_t reportedWindows() const { return mCountsByWindow.size(); }

private:
  struct Request
  {
    SentRequest sent;
    int runs = 0;
    bool isRefused = false;
  };
  struct Batch
  {
    std::string organisation;
    bool isAccepted = false;
    /// Whether a submission may have been accepted without a response.
    bool mayBeAccepted = false;
    bool hasRun = false;
    /// Results by position.
    std::map<std::size_t, std::string> results;
    std::set<std::string> listedItems;
  };
  struct Holder
  {
    std::string instance;
    std::int64_t fencingToken = 0;
  };

  std::map<std::string, Request> mRequests;
  std::map<std::string, Batch> mBatches;
  std::map<std::int64_t, std::string> mCountsByWindow;
  std::map<std::string, Holder> mHolderBySubject;
  std::vector<std::string> mViolations;
  std::size_t mServed = 0;
  std::size_t mReadResults = 0;
};

} // namespace lentilrack::soak
