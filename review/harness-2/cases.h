#pragma once

#include "net/asio.h"

namespace lentilrack::review {

class Deployment;

/// Each function runs a case and returns its exit status.
net::Awaitable<int>
runMalformedRequest(Deployment& deployment);
net::Awaitable<int>
runLargeSubmission(Deployment& deployment);
net::Awaitable<int>
runUnreadableBatch(Deployment& deployment);
net::Awaitable<int>
runFormerOwner(Deployment& deployment);

} // namespace lentilrack::review
