// Options and main function of the `hosted` command.

#include "emulator/hosted/hosted_command.h"

#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <cxxopts.hpp>

#include "emulator/hosted/hosted_leaf.h"
#include "emulator/hosted/hosted_store.h"
#include "emulator/support/ready_line.h"
#include "src/base/json_string.h"

namespace medlarspread::emulator {

namespace {

// Maximum connections to each leaf from all daemons together.
constexpr int kConnections = 40;

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> words;
  std::istringstream stream(text);
  for (std::string word; std::getline(stream, word, ',');) {
    words.push_back(std::move(word));
  }
  return words;
}

std::string JoinQuoted(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : ",") + base::JsonString(word);
  }
  return text;
}

// Makes a configuration with three routes: one to all shards, one to the first
// shard, and one that is not idempotent.
std::string MakeConfiguration(const std::vector<std::string>& shards) {
  const std::string first = base::JsonString(shards.front());
  std::string services;
  for (const std::string& shard : shards) {
    services += (services.empty() ? "" : ",") + std::string(R"({"name":)") +
                base::JsonString(shard) + R"(,"max_conns":)" +
                std::to_string(kConnections) + "}";
  }
  return R"({"version":1,"routes":[)"
         R"({"name":"search","host":"demo","prefix":"/search/",)"
         R"("kind":"idempotent","timeout_ms":2000,"slo_ms":100,)"
         R"("attempts":2,"top_k":2,"min_coverage":0.6,"gather":[)" +
         JoinQuoted(shards) +
         R"(]},{"name":"lookup","host":"demo","prefix":"/lookup/",)"
         R"("kind":"idempotent","timeout_ms":2000,"slo_ms":100,)"
         R"("attempts":2,"service":)" +
         first +
         R"(},{"name":"refund","host":"demo","prefix":"/refund/",)"
         R"("kind":"non_idempotent","timeout_ms":2000,"slo_ms":500,)"
         R"("attempts":1,"service":)" +
         first + R"(}],"services":[)" + services + "]}";
}

}  // namespace

int RunHosted(int count, char** arguments, StopSignal& stop) {
  cxxopts::Options options(
      "medlarspread_emulator hosted",
      "Emulates the store and the leaves of the users' platform.");
  options.add_options()(
      "shards", "comma-separated names of the shards",
      cxxopts::value<std::string>()->default_value("s1,s2,s3"))(
      "domains", "number of failure domains, each with a leaf per shard",
      cxxopts::value<std::string>()->default_value("n1,n2"));
  const auto parsed = options.parse(count, arguments);
  const auto shards = SplitAtCommas(parsed["shards"].as<std::string>());
  const auto domains = SplitAtCommas(parsed["domains"].as<std::string>());
  boost::asio::io_context context;
  HostedStore store(context);
  std::vector<std::unique_ptr<HostedLeaf>> leaves;
  for (const std::string& shard : shards) {
    for (const std::string& domain : domains) {
      std::string id = shard;
      id.append("-").append(domain);
      leaves.push_back(
          std::make_unique<HostedLeaf>(context, id, shard, domain));
      store.Put("servers/" + id, leaves.back()->MakeEntry("ready"));
    }
  }
  store.Put("op/config", MakeConfiguration(shards));
  const auto work = boost::asio::make_work_guard(context);
  std::thread thread([&context] { context.run(); });
  PrintReadyLine({.kind = "hosted",
                  .name = "hosted",
                  .address = store.address(),
                  .collection = "",
                  .region = "",
                  .failure_domain = "",
                  .seed = 0});
  stop.Wait();
  context.stop();
  thread.join();
  return 0;
}

}  // namespace medlarspread::emulator
