#pragma once

#include "core/rollout_batch.h"
#include "gateway/wire_format.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lentilrack::gateway {

/// Returns why a submitted batch must be refused, with the item and the field,
/// for example `items[2].headers.X-Note: the value has a control character`, or
/// nothing if each of its requests can be sent as submitted. `maxHeadBytes` is
/// the maximum size of the head of each request.
std::optional<std::string>
findProblem(const core::BatchSpec& batch,
            std::size_t maxHeadBytes,
            const HeaderNames& names);

} // namespace lentilrack::gateway
