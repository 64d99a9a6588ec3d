#pragma once

// A trainer, as the pages describe it: submits batches, reads results, ends
// batches.

#include "standins.h"

namespace review {

struct Item
{
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body = "prompt";
};

class Trainer
{
public:
  Trainer(Deployment& deployment, Record& record)
    : mDeployment(deployment)
    , mRecord(record)
  {
  }

  /// Returns a submission of these items.
  static std::string submission(const std::vector<Item>& items,
                                const std::string& model,
                                int minVersion = 1);
  /// Returns items with usual headers.
  static std::vector<Item> items(const std::string& batch,
                                 int count,
                                 const std::string& path,
                                 const std::string& model);
  /// Sends the submission to one machine after the other, as a trainer does
  /// after a refusal or no answer, until one answers 202. Returns the status of
  /// the last attempt (0: no answer).
  int submit(const std::string& batch,
             const std::string& path,
             const std::string& body,
             Millis timeout = Millis(12'000));
  /// Reads all results, from all machines in turn. Returns those read until
  /// `timeout`, by item id.
  std::map<std::string, Json> readAll(const std::string& batch,
                                      std::size_t total,
                                      Millis timeout);
  /// Reads once at one machine.
  Response read(std::size_t machine,
                const std::string& batch,
                std::size_t after,
                int waitMs = 1'000);

private:
  Deployment& mDeployment;
  Record& mRecord;
  std::size_t mNext = 0;
};

} // namespace review
