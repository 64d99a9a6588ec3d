#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lentilrack::core {

/// Scheduling weight and limits for one kind of work of one principal.
struct Row
{
  std::string principal;
  /// Kind of work; "*" applies to every kind without a row of its own.
  std::string kind;
  /// Relative share within the priority class, 1 to 1000.
  std::int64_t weight = 1;
  /// Maximum number of requests per second; 0 means no limit.
  double ratePerSecond = 0;
  /// Maximum number of requests in flight; 0 means no limit.
  std::int64_t maxConcurrent = 0;
  /// Priority class, from 0 (most urgent) to 9.
  std::int64_t priority = 5;
  Millis deadline{ 30000 };
  /// Largest age of a sample when a trainer pulls it, in weight versions.
  std::int64_t stalenessBound = 1;
  /// Whether idempotent work may be sent to a second server when the first one
  /// is slow to answer.
  bool hedge = false;
  /// Table revision in which the row was last changed.
  std::int64_t version = 0;

  bool operator==(const Row&) const = default;
};

enum class PrincipalRole
{
  Caller,
  Trainer,
  Operator,
};

/// A user of the service, identified by a bearer token.
struct Principal
{
  std::string name;
  PrincipalRole role = PrincipalRole::Caller;
  /// BLAKE2b-256 of the bearer token, lower-case hex.
  std::string tokenHash;
  /// Table revision in which the principal was last changed.
  std::int64_t version = 0;

  bool operator==(const Principal&) const = default;
};

/// Key of a row: principal and kind.
using RowKey = std::pair<std::string, std::string>;

/// One revision of the table of rows and principals that operators maintain. An
/// edit does not change a table but creates the next revision.
struct Table
{
  std::int64_t revision = 0;
  std::map<RowKey, Row> rows;
  std::map<std::string, Principal> principals;
  /// Identifiers of the latest accepted edits, oldest first. They show whether
  /// an edit that is sent again was accepted before.
  std::deque<std::string> recentEdits;

  bool operator==(const Table&) const = default;

  /// Returns the principal's row of this kind, or else its "*" row, or else
  /// null.
  const Row* findRow(std::string_view principal, std::string_view kind) const;

  /// Returns the principal with this bearer token, or null if there is none.
  /// The run time does not depend on which principal matches, to prevent timing
  /// attacks.
  const Principal* authenticate(std::string_view token) const;
};

/// Returns the BLAKE2b-256 hash as lower-case hex, as in Principal::tokenHash.
std::string
hashToken(std::string_view token);

} // namespace lentilrack::core
