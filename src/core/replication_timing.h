#pragma once

#include "core/time.h"

#include <algorithm>

namespace lentilrack::core {

/// Intervals with which the contents of the store are replicated. They follow
/// from the time in which a change must be in force everywhere, since each call
/// to the store has a price and a deployment that allows more time needs fewer
/// calls.
struct ReplicationTiming
{
  /// Maximum duration of one watch call to the store. A mirror counts as
  /// confirmed when a watch ends without an error. The duration thus also
  /// bounds how late followers notice that their source has lost the store.
  Millis watchTimeout{ 500 };
  /// Delay between two listings of the server entries. It leaves time for one
  /// lost listing and for the failure of a source.
  Millis serverPollInterval{ 350 };
  /// How long a source may hold the request of a follower while nothing
  /// changes.
  Millis followTimeout{ 300 };
  /// Maximum time since the store last confirmed the mirrors of a source. A
  /// source with older mirrors serves no followers, and its followers change to
  /// another one. On a slow store a mirror may go unconfirmed for a watch and
  /// 0.3 s more.
  Millis maxMirrorAge{ 1'100 };
  /// A reader that stands by reads the store itself once its mirrors are older
  /// than this. It is longer than a watch takes, and so short that the mirrors
  /// of the processes that follow the reader stay below maxMirrorAge.
  Millis standbyAge{ 750 };

  /// Returns the intervals for a deployment in which a new desired state must
  /// be in force within `configTime`, and a leaving server must get no request
  /// later than `drainTime`.
  static ReplicationTiming forBounds(Millis configTime, Millis drainTime)
  {
    constexpr Millis kShortest{ 1'000 };
    constexpr Millis kLongest{ 4'000 };
    const auto allowed =
      std::clamp(std::min(configTime, drainTime), kShortest, kLongest);
    return { .watchTimeout = allowed / 4,
             .serverPollInterval = allowed * 7 / 40,
             .followTimeout = allowed * 3 / 20,
             .maxMirrorAge = allowed * 11 / 20,
             .standbyAge = allowed * 3 / 8 };
  }
};

} // namespace lentilrack::core
