#include "entry/entry_fixture.h"

#include <sstream>

namespace lentilrack::entry {

namespace {

const core::Endpoint kAnyPort{ "127.0.0.1", 0 };

node::NodeSettings
settingsOf(const std::string& name)
{
  node::NodeSettings settings;
  settings.role = core::MemberRole::Entry;
  settings.name = name;
  settings.failureDomain = "etna";
  settings.linkSecret = kSecret;
  return settings;
}

} // namespace

core::Table
testTable()
{
  core::Table table;
  table.revision = 1;
  for (const std::string name : { "desk", "other" }) {
    table.principals[name] = {
      name, core::PrincipalRole::Caller, core::hashToken(name + "-token"), 1
    };
    core::Row row;
    row.principal = name;
    row.kind = "*";
    row.hedge = true;
    row.deadline = core::Millis(20'000);
    table.rows[{ name, "*" }] = row;
  }
  return table;
}

TestEntry::TestEntry(net::asio::io_context& io,
                     const std::string& name,
                     EntryOptions options)
  : mNode(io, settingsOf(name))
  , mApp(mNode, std::move(options))
  , mServer(io, {}, [this](net::HttpExchange& exchange) {
    return mNode.router().handle(exchange);
  })
{
  mHttpEndpoint = mServer.listen(kAnyPort).value();
  mNode.members().self().http = mHttpEndpoint;
  mNode.members().self().link = mNode.linkServer().listen(kAnyPort).value();
  mNode.table().applyIfNewer(testTable());
}

void
TestEntry::addMember(const core::Member& member)
{
  mNode.members().applyHeartbeat(member, core::Clock::now());
}

FakeDispatcher::FakeDispatcher(net::asio::io_context& io,
                               const std::string& name,
                               core::Incarnation incarnation,
                               core::Endpoint endpoint)
  : engine(echoEngine)
  , mId{ name, incarnation }
  , mServer(io, { mId, kSecret })
{
  mServer.registerHandler(
    wire::DispatchRequest::kType,
    [this](Request request) { return dispatch(request); });
  mServer.registerHandler(wire::BarRequest::kType,
                          [this](Request request) { return bar(request); });
  mLinkEndpoint = mServer.listen(endpoint).value();
}

core::Member
FakeDispatcher::member() const
{
  core::Member member;
  member.id = mId;
  member.role = core::MemberRole::Dispatch;
  member.failureDomain = "etna";
  member.link = mLinkEndpoint;
  member.load["note"] = { 2, 8, 0, 0, 400 };
  member.load["stock"] = { 1, 8, 0, 0, 400 };
  return member;
}

net::Awaitable<void>
FakeDispatcher::dispatch(Request request)
{
  const auto decoded = wire::decode<wire::DispatchRequest>(request->body());
  if (!decoded) {
    request->reject(decoded.error().text());
    co_return;
  }
  if (shouldDropMessage()) {
    co_return;
  }
  const auto& message = decoded.value();
  core::Outcome refused;
  refused.verdict = core::Verdict::NotRun;
  refused.reason =
    message.dispatcher == mId ? refusalReason : "other_incarnation";
  if (!refused.reason.empty()) {
    request->reply(wire::encode(wire::DispatchReply{ refused, std::nullopt }));
    co_return;
  }
  const auto known =
    ledger.submit(message.attempt, message.work.idempotent, core::Clock::now());
  if (known || !ledger.start(message.attempt)) {
    request->reply(wire::encode(
      wire::DispatchReply{ known.value_or(refused), std::nullopt }));
    co_return;
  }
  request->cancelSignal()->addCallback([this] { ++cancelledAttempts; });
  runs.push_back(message.work.type == core::WorkType::Call
                   ? message.work.call.path
                   : message.work.prompt);
  const auto outcome = co_await engine(message, request);
  ledger.finish(message.attempt, outcome, core::Clock::now());
  request->reply(wire::encode(wire::DispatchReply{ outcome, std::nullopt }));
}

net::Awaitable<void>
FakeDispatcher::bar(Request request)
{
  const auto decoded = wire::decode<wire::BarRequest>(request->body());
  if (!decoded || decoded.value().dispatcher != mId) {
    request->reject("another incarnation");
    co_return;
  }
  const auto result = ledger.bar(decoded.value().request, core::Clock::now());
  wire::BarReply reply;
  switch (result->state) {
    case core::AttemptState::Barred:
    case core::AttemptState::Queued:
      reply.state = wire::BarState::Barred;
      break;
    case core::AttemptState::Started:
      reply.state = wire::BarState::Started;
      break;
    case core::AttemptState::Finished:
      reply.state = wire::BarState::Finished;
      reply.outcome = result->outcome;
      reply.answer = keptAnswer;
  }
  request->reply(wire::encode(reply));
}

net::Awaitable<core::Outcome>
echoEngine(wire::DispatchRequest message, FakeDispatcher::Request request)
{
  core::Outcome outcome;
  outcome.verdict = core::Verdict::Done;
  if (message.work.type == core::WorkType::Call) {
    outcome.httpStatus = 201;
    outcome.contentType = "text/plain";
    request->sendEvent(
      wire::encode(core::Chunk{ message.work.call.body, 0, std::nullopt }));
    co_return outcome;
  }
  std::istringstream words(message.work.prompt);
  std::string word;
  while (words >> word) {
    request->sendEvent(wire::encode(core::Chunk{ word + " ", 1, 7 }));
    ++outcome.totalTokens;
  }
  co_return outcome;
}

std::vector<wire::Json>
HttpReply::lines() const
{
  std::vector<wire::Json> result;
  std::istringstream stream(body);
  std::string line;
  while (std::getline(stream, line)) {
    result.push_back(wire::Json::parse(line));
  }
  return result;
}

std::string
HttpReply::text() const
{
  std::string text;
  for (const auto& line : lines()) {
    text += line.value("text", "");
  }
  return text;
}

std::string
HttpReply::verdict() const
{
  const auto last = lines().back();
  return last["verdict"].is_null() ? "" : last["verdict"].get<std::string>();
}

std::string
HttpReply::reason() const
{
  return lines().back().value("reason", "");
}

EntryTest::EntryTest()
{
  for (auto* entry : { &mEntryProcess, &mOtherEntryProcess }) {
    entry->addMember(mFirstDispatcher.member());
    entry->addMember(mSecondDispatcher.member());
  }
  mEntryProcess.addMember(mOtherEntryProcess.member());
  mOtherEntryProcess.addMember(mEntryProcess.member());
}

std::string
EntryTest::newId(TestEntry& home, const std::string& caller)
{
  core::Ticket ticket;
  ticket.home = home.node().self();
  ticket.caller = caller;
  ticket.nonce = ++mLastSequence;
  ticket.expiry = core::kTicketLifetime;
  ticket.dispatchers = { mFirstDispatcher.id(), mSecondDispatcher.id() };
  return core::RequestId{ core::TicketSigner(kSecret).sign(ticket), 1 }.text();
}

wire::Json
EntryTest::orderBody(const std::string& id,
                     const std::string& prompt,
                     bool idempotent)
{
  return { { "id", id },          { "kind", "order" },
           { "model", "note" },   { "prompt", prompt },
           { "max_tokens", 100 }, { "idempotent", idempotent } };
}

net::Awaitable<HttpReply>
EntryTest::send(TestEntry& entry, net::HttpRequest request)
{
  net::HttpCall call;
  call.endpoint = entry.http();
  call.timeout = core::Millis(30'000);
  request.headers.emplace_back("Authorization",
                               std::string("Bearer ") + kToken);
  call.request = std::move(request);
  const auto result = co_await mHttpClient.call(std::move(call));
  HttpReply answer;
  answer.status = result.response.status;
  answer.error = result.error;
  answer.body = result.response.body;
  answer.contentType = result.response.contentType;
  co_return answer;
}

net::Awaitable<HttpReply>
EntryTest::order(TestEntry& entry, wire::Json body)
{
  net::HttpRequest request{ "POST", "/v1/orders", {}, body.dump() };
  auto answer = co_await send(entry, std::move(request));
  co_return answer;
}

std::shared_ptr<HttpReply>
EntryTest::startOrder(TestEntry& entry, wire::Json body)
{
  auto stored = std::make_shared<HttpReply>();
  net::asio::co_spawn(mIo,
                      order(entry, std::move(body)),
                      [stored](const std::exception_ptr&, HttpReply answer) {
                        *stored = std::move(answer);
                      });
  return stored;
}

} // namespace lentilrack::entry
