#pragma once

#include "core/step.h"
#include "wire/object_reader.h"

#include <string>
#include <vector>

namespace lentilrack::entry {

/// Body of `POST /v1/steps`. `received` lists the samples that the trainer
/// already has. `version` is the weight version that the trainer reports.
struct OpenStepRequest
{
  /// `spec.trainer` is empty, because the trainer's name comes from the
  /// authentication and not from the body.
  core::StepSpec spec;
  /// The trainer passes a higher number each time it opens the step.
  std::int64_t opening = 0;
  std::vector<core::Slot> received;
  std::int64_t version = 0;
};

/// Body of `POST /v1/steps/STEP/pull`.
struct PullRequest
{
  std::int64_t opening = 0;
  std::vector<core::Slot> received;
  std::int64_t version = 0;
  core::Millis wait{ 0 };
};

/// Body of `POST /v1/steps/STEP/ack`.
struct AckRequest
{
  std::int64_t opening = 0;
  std::vector<core::Slot> received;
};

/// Decode the bodies of requests. A missing, unknown or ill-typed field is an
/// error that names the field.
wire::Decoded<OpenStepRequest>
decodeOpenStep(const std::string& body);
wire::Decoded<PullRequest>
decodePull(const std::string& body);
wire::Decoded<AckRequest>
decodeAck(const std::string& body);

/// Returns the body of the response to a pull.
wire::Json
encodePullResponse(std::int64_t opening,
                   const core::PulledSamples& pulledSamples,
                   std::int64_t droppedStale);

/// Returns the error code for the response, such as "old_opening".
const char*
errorCodeName(core::StepErrorCode code);
/// Returns the HTTP status of a response with this error.
int
httpStatus(core::StepErrorCode code);

} // namespace lentilrack::entry
