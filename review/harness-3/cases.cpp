// Cases of the third review. Usage: cases NAME ROOT RECORD, with TROUBLE=0 for
// the same run without the disruption. Writes the file RECORD. Exits with 1 if the rule was broken, 0
// if it held and 2 if the case could not run.

#include "trainer.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <set>
#include <unistd.h>

namespace review {

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

struct Setting
{
  std::string root;
  std::string folder;
  bool hasTrouble = true;
};

const std::string kItemPath = "/rollout/";
const std::string kModel = "model-a";

std::string
longPrefix(std::size_t bytes)
{
  std::string prefix;
  for (int i = 0; prefix.size() < bytes; ++i) {
    char part[32];
    std::snprintf(part, sizeof part, "%s%08x:4", i > 0 ? "," : "", i + 4096);
    prefix += part;
  }
  return prefix;
}

/// Samplers of one service that run items.
std::vector<std::unique_ptr<Sampler>>
modelSamplers(Deployment& deployment,
              Record& record,
              int count,
              const Sampler::Options& options)
{
  std::vector<std::unique_ptr<Sampler>> samplers;
  for (int i = 1; i <= count; ++i) {
    auto own = options;
    own.id = options.service + "-" + std::to_string(i);
    samplers.push_back(std::make_unique<Sampler>(
      loopback(2, i), *deployment.store, record, own));
  }
  return samplers;
}

/// Returns the number of machines whose processes have ended by themselves
/// three times or more.
std::ptrdiff_t
machinesWithThreeEnds(const Deployment& deployment)
{
  std::map<std::string, int> endsOf;
  for (const auto& end : deployment.unexpectedEnds()) {
    ++endsOf[end.substr(0, end.find(' '))];
  }
  return std::count_if(endsOf.begin(), endsOf.end(), [](const auto& item) {
    return item.second >= 3;
  });
}

int
longItemHeader(const Setting& setting, Record& record)
{
  Deployment deployment(setting.root, setting.folder, record, 4);
  deployment.configure(Json::array({ rolloutRoute(kItemPath, "llm") }),
                       Json::array({ modelService("llm", kModel, 8) }));
  Sampler::Options options;
  options.service = "llm";
  options.model = kModel;
  options.pace = Millis(60);
  const auto samplers = modelSamplers(deployment, record, 3, options);
  if (!deployment.start()) {
    return kNotRun;
  }
  deployment.startSupervision();
  Trainer trainer(deployment, record);
  const auto good = Trainer::items("a1", 40, kItemPath, kModel);
  if (trainer.submit("a1", kItemPath, Trainer::submission(good, kModel)) !=
      202) {
    return kNotRun;
  }
  auto odd = Trainer::items("b1", 4, kItemPath, kModel);
  const auto prefix = longPrefix(setting.hasTrouble ? 70'000 : 7'000);
  constexpr auto kTokensOfPart = 4;
  const auto tokens =
    kTokensOfPart * std::count(prefix.begin(), prefix.end(), ':');
  odd[0].headers[1].second = std::to_string(tokens) + ",8";
  odd[0].headers[2].second = prefix;
  const bool isTaken =
    trainer.submit("b1", kItemPath, Trainer::submission(odd, kModel)) == 202;
  // Far longer than the time budget of a step, which is 12 s.
  const auto first = trainer.readAll("a1", good.size(), Millis(40'000));
  const auto second =
    isTaken ? trainer.readAll("b1", odd.size(), Millis(12'000))
            : std::map<std::string, Json>();
  record.line("results of a1: " + std::to_string(first.size()) + " of " +
              std::to_string(good.size()) +
              "; of b1: " + std::to_string(second.size()) + " of " +
              std::to_string(odd.size()) + (isTaken ? "" : " (refused)") +
              "; ends of processes: " +
              std::to_string(deployment.unexpectedEnds().size()));
  const bool isComplete =
    first.size() == good.size() && (!isTaken || second.size() == odd.size());
  return isComplete ? kHeld : kBroken;
}

int
injectedHeader(const Setting& setting, Record& record)
{
  Deployment deployment(setting.root, setting.folder, record, 4);
  deployment.configure(Json::array({ rolloutRoute(kItemPath, "llm") }),
                       Json::array({ modelService("llm", kModel, 8) }));
  Sampler::Options options;
  options.service = "llm";
  options.model = kModel;
  const auto samplers = modelSamplers(deployment, record, 3, options);
  if (!deployment.start()) {
    return kNotRun;
  }
  Trainer trainer(deployment, record);
  auto items = Trainer::items("a1", 6, kItemPath, kModel);
  items[0].headers.emplace_back(
    "X-Note",
    setting.hasTrouble
      ? "a\r\nX-Request-Id: nobody-sent-this\r\nContent-Length: 0\r\n\r\n"
        "POST /other/path HTTP/1.1\r\nX-Note: b"
      : "a b");
  trainer.submit("a1", kItemPath, Trainer::submission(items, kModel));
  const auto results = trainer.readAll("a1", items.size(), Millis(8'000));
  std::size_t foreign = 0;
  for (const auto& sampler : samplers) {
    for (const auto& run : sampler->runs()) {
      foreign += run.id.starts_with("a1i") && run.path.starts_with(kItemPath)
                   ? 0
                   : 1;
    }
  }
  record.line("results: " + std::to_string(results.size()) +
              "; runs of requests that nobody sent: " +
              std::to_string(foreign));
  return foreign > 0 ? kBroken : kHeld;
}

int
longRequestHeader(const Setting& setting, Record& record)
{
  Deployment deployment(setting.root, setting.folder, record, 4);
  deployment.configure(Json::array({ plainRoute("/orders/", "app") }),
                       Json::array({ plainService("app") }),
                       { { "max_header_bytes", 131072 } });
  Sampler::Options options;
  options.service = "app";
  options.id = "app-1";
  const Sampler sampler(
    loopback(3, 1), *deployment.store, record, options);
  if (!deployment.start()) {
    return kNotRun;
  }
  deployment.startSupervision();
  constexpr int kRequests = 16;
  int answered = 0;
  for (int i = 0; i < kRequests; ++i) {
    Request request;
    request.method = "POST";
    request.target = "/orders/x";
    request.headers = {
      { "X-Request-Id", "q" + std::to_string(i) },
      { "X-Deadline-Ms", "2000" },
      { "X-Prompt-Prefix", longPrefix(setting.hasTrouble ? 70'000 : 7'000) }
    };
    request.body = "order";
    const auto& gateway = *deployment.gateways[i % 4];
    const auto response =
      call(gateway.front(), request, kHost, Millis(2'000));
    answered += response.status != 0 ? 1 : 0;
    record.line("q" + std::to_string(i) + " sent to " + gateway.name() + ": " +
                (response.status == 0 ? response.error
                                      : std::to_string(response.status)));
    std::this_thread::sleep_for(Millis(500));
  }
  const auto machines = machinesWithThreeEnds(deployment);
  record.line("answered: " + std::to_string(answered) + " of " +
              std::to_string(kRequests) + "; ends of processes: " +
              std::to_string(deployment.unexpectedEnds().size()) +
              "; machines with three or more: " + std::to_string(machines));
  return machines >= 2 ? kBroken : kHeld;
}

int
foreignAnswer(const Setting& setting, Record& record)
{
  Deployment deployment(setting.root, setting.folder, record, 4);
  deployment.configure(Json::array({ rolloutRoute(kItemPath, "llm") }),
                       Json::array({ modelService("llm", kModel, 4) }));
  Sampler::Options options;
  options.service = "llm";
  options.model = kModel;
  options.slots = 4;
  options.events = 12;
  options.pace = Millis(100);
  const auto samplers = modelSamplers(deployment, record, 2, options);
  if (!deployment.start()) {
    return kNotRun;
  }
  Trainer trainer(deployment, record);
  const auto submitted = [&](const std::string& batch) {
    const auto items = Trainer::items(batch, 60, kItemPath, kModel);
    return trainer.submit(
             batch, kItemPath, Trainer::submission(items, kModel)) == 202;
  };
  if (!submitted("a1") || !submitted("v1")) {
    return kNotRun;
  }
  std::size_t foreign = 0;
  std::size_t reads = 0;
  const auto end = Clock::now() + std::chrono::seconds(12);
  for (std::size_t round = 0; Clock::now() < end; ++round) {
    std::this_thread::sleep_for(Millis(50));
    const auto machine = round % deployment.gateways.size();
    // The first consumer asks for the body of an item of its batch, with an id
    // that names none.
    const auto own = trainer.read(machine, "a1", 0, 0);
    std::size_t listed = 0;
    if (own.status == 200) {
      listed = Json::parse(own.body).at("next_token").get<std::size_t>();
    }
    Request request;
    request.method = "GET";
    request.target = "/api/items/a1?id=none";
    if (setting.hasTrouble) {
      request.target += "%20HTTP/1.1%0D%0AHost:%20x%0D%0A%0D%0AGET%20/peer/results/"
                        "a1%3Fafter%3D" +
                        std::to_string(listed) + "%26wait%3D1400%20HTTP/1.1"
                        "%0D%0AX-Note:";
    }
    const auto asked = call(
      deployment.gateways[machine]->front(), request, kHost, Millis(2'000));
    record.line("first consumer asks " + deployment.gateways[machine]->name() +
                " for a body: " + std::to_string(asked.status));
    // The second consumer reads its own batch.
    const auto answer = trainer.read(machine, "v1", 0, 1'000);
    if (answer.status != 200) {
      record.line("second consumer reads v1: " + std::to_string(answer.status) +
                  " " + answer.error);
      continue;
    }
    ++reads;
    const auto results = Json::parse(answer.body).at("results");
    for (const auto& result : results) {
      const auto id = result.at("id").get<std::string>();
      if (!id.starts_with("v1i")) {
        ++foreign;
        record.line("second consumer reads v1 at " +
                    deployment.gateways[machine]->name() +
                    " and gets the result of " + id);
      }
    }
  }
  record.line("reads of v1 answered: " + std::to_string(reads) +
              "; results of another batch in them: " + std::to_string(foreign));
  return reads == 0 ? kNotRun : foreign > 0 ? kBroken : kHeld;
}

int
restartedLeader(const Setting& setting, Record& record)
{
  constexpr int kSamplers = 9;
  constexpr int kSlots = 8;
  constexpr int kItems = 184;
  constexpr std::int64_t kBudget = 12'000;
  Deployment deployment(setting.root, setting.folder, record, 4);
  deployment.configure(Json::array({ rolloutRoute(kItemPath, "llm") }),
                       Json::array({ modelService("llm", kModel, kSlots) }));
  std::mutex mutex;
  std::string holder;
  int orders = 0;
  Sampler::Options options;
  options.service = "llm";
  options.model = kModel;
  options.slots = kSlots;
  options.events = 10;
  options.pace = Millis(250);
  options.onOrder = [&](const std::string& from) {
    const std::lock_guard lock(mutex);
    holder = from;
    ++orders;
  };
  const auto samplers = modelSamplers(deployment, record, kSamplers, options);
  if (!deployment.start()) {
    return kNotRun;
  }
  deployment.startSupervision();
  Trainer trainer(deployment, record);
  const auto name = [&](int version) {
    record.line("version " + std::to_string(version) + " is named");
    deployment.store->put(
      "op/version/" + kModel,
      Json{ { "model", kModel }, { "version", version } }.dump());
  };
  // The first versions, until the leader gives orders without a delay.
  std::this_thread::sleep_for(Millis(6'000));
  name(2);
  std::this_thread::sleep_for(Millis(8'000));
  // Consumers who read wherever they get an answer.
  std::atomic<bool> isOver{ false };
  std::vector<std::thread> readers;
  for (std::size_t i = 0; i < deployment.gateways.size(); ++i) {
    readers.emplace_back([&, i] {
      while (!isOver) {
        if (trainer.read(i, "step4", 0, 1'000).status != 200) {
          std::this_thread::sleep_for(Millis(200));
        }
      }
    });
  }
  name(3);
  const auto named3 = record.now();
  while (orders < kSamplers + 2 && record.now() < named3 + 1'000) {
    std::this_thread::sleep_for(Millis(5));
  }
  const auto stop = [&] {
    const std::lock_guard lock(mutex);
    for (auto& gateway : deployment.gateways) {
      if (setting.hasTrouble && gateway->name() == holder) {
        record.line("SIGTERM to " + holder);
        gateway->signal(SIGTERM);
      }
    }
  };
  stop();
  const auto stopped = record.now();
  std::this_thread::sleep_for(Millis(named3 + 4'000 - record.now()));
  name(4);
  const auto named4 = record.now();
  const auto items = Trainer::items("step4", kItems, kItemPath, kModel);
  if (trainer.submit(
        "step4", kItemPath, Trainer::submission(items, kModel, 3)) != 202) {
    return kNotRun;
  }
  std::this_thread::sleep_for(Millis(stopped + 8'000 - record.now()));
  stop();
  std::this_thread::sleep_for(Millis(named4 + kBudget - record.now()));
  // How many runs were in progress in the 5 s that begin 6 s after the last
  // version was named. An item without a run has been at no sampler all the
  // while.
  std::set<std::string> begun;
  std::vector<std::int64_t> starts;
  for (const auto& sampler : samplers) {
    for (const auto& run : sampler->runs()) {
      begun.insert(run.id);
      starts.push_back(run.at);
    }
  }
  const auto from = named4 + 6'000;
  std::size_t most = 0;
  for (auto at = from; at < from + 5'000; at += 100) {
    most = std::max(most,
                    static_cast<std::size_t>(std::count_if(
                      starts.begin(), starts.end(), [&](std::int64_t start) {
                        return start <= at && at < start + 2'500;
                      })));
  }
  isOver = true;
  for (auto& reader : readers) {
    reader.join();
  }
  record.line("items that no sampler got in " + std::to_string(kBudget) +
              " ms: " + std::to_string(kItems - begun.size()) +
              "; most runs at a time in 5 s of that: " +
              std::to_string(most) + " of " +
              std::to_string(kSamplers * kSlots));
  const bool isLeftLying = begun.size() < kItems && !begun.empty() &&
                           2 * most < kSamplers * kSlots;
  return isLeftLying ? kBroken : kHeld;
}

} // namespace

int
runCase(const std::string& name, const Setting& setting, Record& record)
{
  const std::map<std::string, int (*)(const Setting&, Record&)> cases{
    { "foreign-answer", foreignAnswer },
    { "long-item-header", longItemHeader },
    { "injected-header", injectedHeader },
    { "long-request-header", longRequestHeader },
    { "restarted-leader", restartedLeader },
  };
  const auto found = cases.find(name);
  return found == cases.end() ? kNotRun : found->second(setting, record);
}

} // namespace review

int
main(int argc, char** argv)
{
  if (argc != 4) {
    std::cerr << "usage: cases NAME ROOT RECORD\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  // Ends the processes too: each gets SIGKILL when this one ends.
  ::alarm(115);
  const char* trouble = std::getenv("TROUBLE");
  review::Setting setting;
  setting.root = argv[2];
  setting.hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  auto pattern =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    return 2;
  }
  setting.folder = pattern;
  review::Record record(argv[3]);
  if (!record.isOpen()) {
    std::cerr << argv[3] << " can't be written\n";
    return 2;
  }
  record.line(setting.hasTrouble ? "with the disruption"
                                 : "without the disruption");
  int result = 2;
  try {
    result = review::runCase(argv[1], setting, record);
  } catch (const std::exception& error) {
    record.line(std::string("the case could not run: ") + error.what());
  }
  record.line("exit code " + std::to_string(result));
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(setting.folder);
  } else {
    std::cerr << setting.folder << "\n";
  }
  return result;
}
