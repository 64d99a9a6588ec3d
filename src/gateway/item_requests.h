#pragma once

#include "core/rollout_batch.h"
#include "gateway/wire_format.h"

namespace lentilrack::gateway {

/// Return the requests that run an item of a batch and score its text, without
/// their bodies and without the headers that name a server or an event. The
/// check of a submission and the run of its batch use the same requests.
net::HttpRequest
itemRequestHead(const core::BatchSpec& batch,
                const core::BatchItem& item,
                const HeaderNames& names);
net::HttpRequest
rewardRequestHead(const core::RewardCall& call, const HeaderNames& names);

} // namespace lentilrack::gateway
