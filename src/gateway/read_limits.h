#pragma once

#include <cstddef>

namespace lentilrack::gateway {

/// Maximum sizes, in bytes, of what the process reads from backend servers and
/// peers. Without them, a server in trouble that sends bytes without end would
/// take the process over its memory limit.

/// All responses that the process reads may hold together its memory limit
/// divided by this.
inline constexpr std::size_t kReadMemoryDivisor = 4;
/// The body of a response that is forwarded as a whole. The whole body is held
/// in memory until it is complete.
inline constexpr std::size_t kMaxResponseBytes = 16UL * 1024 * 1024;
/// The report of a server. It lists a few models and the requests that the
/// server runs, with less than 100 bytes for each; a decoded report takes many
/// times the size of its text.
inline constexpr std::size_t kMaxReportBytes = 256UL * 1024;
/// The response to an order to load weights, whose body is not used.
inline constexpr std::size_t kMaxOrderResponseBytes = 64UL * 1024;
/// The text of an item. Trainers read results in pages of at most 1 MB.
inline constexpr std::size_t kMaxItemTextBytes = 900'000;
/// The response of a peer. The largest is a snapshot of the replicated state,
/// which takes less than 1 kB for each server, instance and open batch.
inline constexpr std::size_t kMaxPeerResponseBytes = 16UL * 1024 * 1024;

} // namespace lentilrack::gateway
