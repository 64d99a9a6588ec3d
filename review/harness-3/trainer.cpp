#include "trainer.h"

namespace review {

std::string
Trainer::submission(const std::vector<Item>& items,
                    const std::string& model,
                    int minVersion)
{
  Json json = { { "step", 1 },
                { "model", model },
                { "min_version", minVersion },
                { "desired", items.size() },
                { "items", Json::array() } };
  for (const auto& item : items) {
    Json headers = Json::object();
    for (const auto& [name, value] : item.headers) {
      headers[name] = value;
    }
    json["items"].push_back({ { "id", item.id },
                              { "path", item.path },
                              { "headers", headers },
                              { "body", encodeBase64(item.body) },
                              { "tokens", 40 },
                              { "group", "g-" + item.id } });
  }
  return json.dump();
}

std::vector<Item>
Trainer::items(const std::string& batch,
               int count,
               const std::string& path,
               const std::string& model)
{
  std::vector<Item> result;
  for (int i = 0; i < count; ++i) {
    Item item;
    item.id = batch + "i" + std::to_string(i);
    item.path = path + item.id;
    item.headers = { { "X-Model", model },
                     { "X-Token-Usage", "32,8" },
                     { "X-Prompt-Prefix", "9c2e41:16,5d07b8:16" } };
    result.push_back(std::move(item));
  }
  return result;
}

int
Trainer::submit(const std::string& batch,
                const std::string& path,
                const std::string& body,
                Millis timeout)
{
  const auto end = Clock::now() + timeout;
  int status = 0;
  while (Clock::now() < end && status != 202) {
    const auto& gateway =
      *mDeployment.gateways[mNext++ % mDeployment.gateways.size()];
    Request request;
    request.method = "POST";
    request.target = path + batch;
    request.headers = { { "X-Request-Id", batch },
                        { "Content-Type", "application/json" } };
    request.body = body;
    const auto response = call(gateway.front(), request, kHost, Millis(5'000));
    status = response.status;
    mRecord.line("batch " + batch + " (" + std::to_string(body.size()) +
                 " bytes) sent to " + gateway.name() + ": " +
                 (status == 0 ? response.error : std::to_string(status)));
    if (status != 202) {
      std::this_thread::sleep_for(Millis(300));
    }
  }
  return status;
}

Response
Trainer::read(std::size_t machine,
              const std::string& batch,
              std::size_t after,
              int waitMs)
{
  Request request;
  request.method = "GET";
  request.target =
    "/api/lots/" + batch + "?after=" + std::to_string(after);
  request.headers = { { "X-Wait-Ms", std::to_string(waitMs) } };
  return call(mDeployment.gateways[machine]->front(),
              request,
              kHost,
              Millis(waitMs + 1'500));
}

std::map<std::string, Json>
Trainer::readAll(const std::string& batch, std::size_t total, Millis timeout)
{
  const auto end = Clock::now() + timeout;
  std::map<std::string, Json> results;
  std::size_t after = 0;
  std::map<std::size_t, std::string> last;
  while (Clock::now() < end && results.size() < total) {
    const auto machine = mNext++ % mDeployment.gateways.size();
    const auto response = read(machine, batch, after);
    const auto outcome =
      response.status == 0 ? response.error : std::to_string(response.status);
    if (response.status == 200) {
      const auto json = Json::parse(response.body);
      for (const auto& result : json.at("results")) {
        results[result.at("id").get<std::string>()] = result;
      }
      after = json.at("next_token").get<std::size_t>();
    }
    const auto text = "batch " + batch + " read at " +
                      mDeployment.gateways[machine]->name() + ": " + outcome +
                      ", " + std::to_string(results.size()) + " results";
    if (text != last[machine]) {
      mRecord.line(text);
      last[machine] = text;
    }
    if (response.status != 200) {
      std::this_thread::sleep_for(Millis(300));
    }
  }
  return results;
}

} // namespace review
