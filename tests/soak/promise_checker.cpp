#include "promise_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace lentilrack::soak {

namespace {

/// Statuses that promise that the request has not run and never will.
bool
promisesNotRun(int status)
{
  constexpr std::array kStatuses{ 408, 421, 429, 503 };
  return std::ranges::find(kStatuses, status) != kStatuses.end();
}

bool
isRejection(int status)
{
  constexpr std::array kStatuses{ 401, 403, 404 };
  return std::ranges::find(kStatuses, status) != kStatuses.end();
}

} // namespace

void
PromiseChecker::addViolation(std::string text)
{
  mViolations.push_back(std::move(text));
}

void
PromiseChecker::requestSent(const std::string& id, SentRequest request)
{
  mRequests[id].sent = std::move(request);
}

void
PromiseChecker::requestAnswered(const std::string& id, int status, bool isWhole)
{
  auto& request = mRequests[id];
  if (status / 100 == 2) {
    ++mServed;
    if (!isWhole) {
      addViolation(fmt::format("request {}: response of another request", id));
    }
    if (request.sent.organisation.empty()) {
      addViolation(fmt::format("request {}: served without a valid key", id));
    }
  }
  if (isRejection(status) && request.sent.hasPermanentKey) {
    addViolation(
      fmt::format("request {}: valid key rejected with {}", id, status));
  }
  request.isRefused = promisesNotRun(status) || isRejection(status);
}

void
PromiseChecker::batchSubmitted(const std::string& id,
                               const std::string& organisation)
{
  mBatches[id].organisation = organisation;
}

void
PromiseChecker::batchAnswered(const std::string& id, int status)
{
  auto& batch = mBatches[id];
  batch.isAccepted = batch.isAccepted || status == 202;
  batch.mayBeAccepted = batch.mayBeAccepted || !promisesNotRun(status);
}

void
PromiseChecker::batchRead(const std::string& id, int status, bool isOwn)
{
  const auto& batch = mBatches[id];
  if (isOwn && batch.isAccepted && (status == 404 || status == 410)) {
    addViolation(fmt::format("batch {}: accepted, then {}", id, status));
  }
  if (!isOwn && status == 200) {
    addViolation(fmt::format("batch {}: read by another organisation", id));
  }
}

void
PromiseChecker::resultRead(const std::string& batch,
                           std::size_t position,
                           const std::string& item,
                           const std::string& result)
{
  ++mReadResults;
  auto& known = mBatches[batch];
  const auto [entry, isNew] = known.results.try_emplace(position, result);
  if (isNew && !known.listedItems.insert(item).second) {
    addViolation(fmt::format("batch {}: item {} is listed twice", batch, item));
  }
  if (entry->second != result) {
    addViolation(
      fmt::format("batch {}: result at {} has changed", batch, position));
  }
}

void
PromiseChecker::serverRan(const std::string& id,
                          const std::string& batch,
                          const std::string& organisation)
{
  if (!batch.empty()) {
    auto& known = mBatches[batch];
    known.hasRun = true;
    if (known.organisation != organisation) {
      addViolation(
        fmt::format("item {}: run in the name of \"{}\"", id, organisation));
    }
    return;
  }
  const auto found = mRequests.find(id);
  if (found == mRequests.end()) {
    addViolation(fmt::format("request {}: run but never sent", id));
    return;
  }
  auto& request = found->second;
  ++request.runs;
  if (request.sent.organisation.empty()) {
    addViolation(fmt::format("request {}: run without a valid key", id));
  } else if (request.sent.organisation != organisation) {
    addViolation(
      fmt::format("request {}: run in the name of \"{}\"", id, organisation));
  }
}

void
PromiseChecker::serverSawKey(const std::string& id)
{
  addViolation(fmt::format("request {}: its key reached a server", id));
}

void
PromiseChecker::usageAccepted(std::int64_t window, const std::string& counts)
{
  const auto [entry, isNew] = mCountsByWindow.try_emplace(window, counts);
  if (!isNew && entry->second != counts) {
    addViolation(fmt::format("usage of window {}: reported as {}, then as {}",
                             window,
                             entry->second,
                             counts));
  }
}

void
PromiseChecker::dutyCallArrived(const std::string& subject,
                                const std::string& holder,
                                std::int64_t fencingToken,
                                bool isExcused)
{
  auto& last = mHolderBySubject[subject];
  if (!isExcused && fencingToken < last.fencingToken) {
    addViolation(fmt::format("{}: token {} of {} after token {} of {}",
                             subject,
                             fencingToken,
                             holder,
                             last.fencingToken,
                             last.instance));
  }
  if (fencingToken == last.fencingToken && holder != last.instance) {
    addViolation(fmt::format("{}: token {} used by {} and {}",
                             subject,
                             fencingToken,
                             last.instance,
                             holder));
  }
  if (fencingToken > last.fencingToken) {
    last = { holder, fencingToken };
  }
}

void
PromiseChecker::finish()
{
  for (const auto& [id, request] : mRequests) {
    if (request.isRefused && request.runs > 0) {
      addViolation(fmt::format("request {}: refused, but has run", id));
    }
    if (!request.sent.isRepeatable && request.runs > 1) {
      addViolation(fmt::format(
        "request {}: not idempotent, but run {} times", id, request.runs));
    }
  }
  for (const auto& [id, batch] : mBatches) {
    if (batch.hasRun && !batch.mayBeAccepted) {
      addViolation(fmt::format("batch {}: refused, but has run", id));
    }
  }
}

} // namespace lentilrack::soak
