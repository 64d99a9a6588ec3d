#include "gateway/coordination_store.h"

namespace lentilrack::gateway {

namespace {

class StoreCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "store"; }
  std::string message(int value) const override
  {
    switch (static_cast<StoreError>(value)) {
      case StoreError::Unavailable:
        return "the store did not accept the call";
      case StoreError::OutcomeUnknown:
        return "the outcome of the write is unknown";
      case StoreError::Conflict:
        return "a precondition of the transaction does not hold";
      case StoreError::LeaseNotFound:
        return "the lease does not exist";
      case StoreError::HistoryCompacted:
        return "the store no longer keeps the requested history";
      case StoreError::MalformedResponse:
        return "the store's response cannot be decoded";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
storeCategory()
{
  static const StoreCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(StoreError error)
{
  return { static_cast<int>(error), storeCategory() };
}

WriteOutcome
StoreCommit::outcome() const
{
  if (!error) {
    return WriteOutcome::Done;
  }
  const bool isRefused = error == StoreError::Unavailable ||
                         error == StoreError::Conflict ||
                         error == StoreError::LeaseNotFound;
  return isRefused ? WriteOutcome::NotDone : WriteOutcome::Unknown;
}

} // namespace lentilrack::gateway
