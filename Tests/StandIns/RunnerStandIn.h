#ifndef Tests_StandIns_RunnerStandIn_h
#define Tests_StandIns_RunnerStandIn_h

#include "Tests/LibJob/FakeRunner.h"
#include "Tests/StandIns/StandInServer.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillaworks::service {
class EventLoop;
class LoopHttpClient;
}

namespace vanillaworks::standins {

struct RunnerStandInOptions
{
  std::string listen;
  /** Where it reports to. */
  std::string control;
  std::string id;
  std::string domain;
  std::int64_t cpu = 8000;
  double slowness = 1;
};

/**
 * A runner that speaks the platform's protocol. A task works for as many
 * milliseconds as its spec says. GET /starts lists what began and ended, in
 * microseconds of the host's clock. POST /control {"mode"} sets "up",
 * "silent" (calls are left without an answer), "failing" or "draining".
 */
class RunnerStandIn
{
public:
  RunnerStandIn(service::EventLoop& aLoop, RunnerStandInOptions aOptions);
  ~RunnerStandIn();

  bool IsListening() const { return server_->IsListening(); }

private:
  using Json = nlohmann::json;
  using Exchanges = std::shared_ptr<Exchange>;
  struct Record
  {
    job::RunKey key;
    std::int64_t began = 0;
    std::int64_t ended = 0;
  };

  void Report();
  void OnRequest(const Exchanges& aExchange);
  void OnStart(const Exchanges& aExchange, const Json& aBody);
  void OnStop(const Exchanges& aExchange, const Json& aBody);
  void OnHold(const Exchanges& aExchange, const Json& aBody);
  void AwaitEnd(const Exchanges& aExchange,
                const job::HoldCall& aCall,
                MonotonicTime aUntil);
  void ReplyStarts(const Exchanges& aExchange) const;
  job::RunnerTarget TargetOf(const Json& aBody) const;
  Json Base();

  RunnerStandInOptions options_;
  tests::FakeRunner runner_;
  std::unique_ptr<StandInServer> server_;
  std::unique_ptr<service::LoopHttpClient> client_;
  std::string mode_ = "up";
  std::uint64_t startsAnswered_ = 0;
  std::map<job::RunKey, Milliseconds> works_;
  std::vector<Record> records_;
  bool wentOver_ = false;
};

}

#endif
