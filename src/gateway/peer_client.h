#pragma once

#include "gateway/cluster_view.h"
#include "gateway/context.h"

#include <optional>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// Paths of the calls between the processes of the cluster.
namespace peer_paths {
inline constexpr const char* kResults = "/peer/results/";
inline constexpr const char* kItemBody = "/peer/items/";
inline constexpr const char* kEndBatch = "/peer/ended/";
inline constexpr const char* kWeights = "/peer/weights";
inline constexpr const char* kSpeeds = "/peer/speeds";
inline constexpr const char* kLeaving = "/peer/leaving/";
inline constexpr const char* kState = "/peer/state";
inline constexpr const char* kPermit = "/peer/permit";
inline constexpr const char* kRate = "/peer/rate";
inline constexpr const char* kAllocator = "/peer/allocator/";
inline constexpr const char* kUsage = "/peer/usage";
inline constexpr const char* kSubmit = "/peer/submit/";
}

/// Headers of the calls between the processes of the cluster.
namespace peer_headers {
/// Host and path to which a trainer has submitted a batch.
inline constexpr const char* kBatchHost = "X-Batch-Host";
inline constexpr const char* kBatchPath = "X-Batch-Path";
/// Organisation that has submitted a batch; absent if there is none.
inline constexpr const char* kBatchOrganisation = "X-Batch-Organisation";
/// Revision of the owner key on which a page of results depends; 0 if the page
/// is valid whoever owns the batch, since results never change.
inline constexpr const char* kOwnerRevision = "X-Owner-Revision";
}

/// Sends requests to other processes of the cluster.
class PeerClient
{
public:
  PeerClient(Context& context, ClusterView& cluster);

  /// Sends a request and returns the response or the error. HttpResult::sent
  /// tells whether the peer may have received the request.
  net::Awaitable<net::HttpResult> call(std::string instance,
                                       net::HttpRequest request,
                                       core::Millis timeout);
  /// Returns the response of the peer, or nothing if it does not arrive within
  /// the timeout.
  net::Awaitable<std::optional<net::HttpResponse>> sendRequest(
    std::string instance,
    net::HttpRequest request,
    core::Millis timeout);
  net::Awaitable<std::optional<net::HttpResponse>> sendRequest(
    core::Endpoint endpoint,
    net::HttpRequest request,
    core::Millis timeout);
  /// Sends a message to the instances, but not to this process, without waiting
  /// for the responses. A message may be lost.
  void notify(const std::vector<std::string>& instances,
              const std::string& path,
              const std::string& body);

private:
  net::Awaitable<net::HttpResult> call(core::Endpoint endpoint,
                                       net::HttpRequest request,
                                       core::Millis timeout);
  /// Sends a message to one process and ignores the response.
  net::Awaitable<void> notifyPeer(std::string instance,
                                  net::HttpRequest request);

  Context& mContext;
  ClusterView& mCluster;
};

} // namespace lentilrack::gateway
