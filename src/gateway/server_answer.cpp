#include "gateway/server_answer.h"

#include "net/error.h"
#include "net/http_status.h"

namespace lentilrack::gateway {

ServerAnswer
classifyAnswer(const net::HttpResult& result, const HeaderNames& names)
{
  const auto& response = result.response;
  if (result.error == net::NetError::Cancelled) {
    return ServerAnswer::Cancelled;
  }
  if (result.error) {
    const bool isIdleClose = result.onKeptConnection && response.status == 0 &&
                             result.error == net::NetError::ConnectionLost;
    return !result.sent  ? ServerAnswer::NotSent
           : isIdleClose ? ServerAnswer::ClosedWhenIdle
                         : ServerAnswer::Broken;
  }
  if (response.status == net::status::kMisdirected) {
    return ServerAnswer::Misdirected;
  }
  const bool isRefused =
    !net::headerValue(response.headers, names.notRun).empty();
  return isRefused ? ServerAnswer::Refused : ServerAnswer::Answered;
}

bool
provesNotRun(ServerAnswer answer)
{
  return answer == ServerAnswer::Refused ||
         answer == ServerAnswer::Misdirected || answer == ServerAnswer::NotSent;
}

void
noteTrouble(core::ServerRegistry& registry,
            const core::ServerEntry& server,
            ServerAnswer answer,
            core::TimePoint now)
{
  switch (answer) {
    case ServerAnswer::Answered:
    case ServerAnswer::NotSent:
    case ServerAnswer::Broken:
      registry.failed(server, now);
      break;
    case ServerAnswer::Refused:
      registry.refused(server, now);
      break;
    case ServerAnswer::Misdirected:
      registry.markLeaving(server);
      break;
    case ServerAnswer::ClosedWhenIdle:
    case ServerAnswer::Cancelled:
      break;
  }
}

bool
answersRequest(const net::HttpResponse& response,
               const HeaderNames& names,
               const std::string& requestId)
{
  const auto echoed = net::headerValue(response.headers, names.requestId);
  return echoed.empty() || echoed == requestId;
}

} // namespace lentilrack::gateway
