#ifndef Tests_System_PlatformDeployment_h
#define Tests_System_PlatformDeployment_h

#include "Tests/System/Process.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillaworks::system {

struct PlatformOptions
{
  std::size_t entries = 2;
  std::size_t workers = 4;
  std::vector<std::string> domains{ "pier-end", "promenade" };
  /** Agents reach each entry, and every second process the store, so. */
  bool relays = false;
};

/** One run that a runner noted, microseconds of the host's clock. */
struct RunRecord
{
  std::string job;
  std::uint32_t task;
  std::string domain;
  std::int64_t began;
  /** 0 while it goes on. */
  std::int64_t ended;
  std::size_t worker = 0;
};

/** What a caller got. */
struct CallerAnswer
{
  /** 0 without an answer. */
  long status = 0;
  std::string body;
  int tries = 1;
  /** It reached an entry that then gave no answer. */
  bool wasCutOff = false;
};

/**
 * Entries, agents, runners and the store as separate processes on addresses
 * of the loopback range, speaking the platform's protocol.
 */
class PlatformDeployment
{
public:
  using Json = nlohmann::json;

  explicit PlatformDeployment(PlatformOptions aOptions);
  ~PlatformDeployment();

  /** Every entry serves and has all workers. */
  bool WaitUntilReady(int aSeconds = 15);
  /** The text of the metrics page. */
  std::string EntryMetrics(std::size_t aEntry) const;
  std::string AgentMetrics(std::size_t aAgent) const;
  /** One entry says that it serves, within the bound on recovery. */
  bool WaitForReadiness(std::size_t aEntry) const;

  Process& Entry(std::size_t aIndex) { return *entries_[aIndex]; }
  Process& Agent(std::size_t aIndex) { return *agents_[aIndex]; }
  Process& Runner(std::size_t aIndex) { return *runners_[aIndex]; }
  void StartEntry(std::size_t aIndex);
  void StartAgent(std::size_t aIndex);
  void StartRunner(std::size_t aIndex);
  const PlatformOptions& Options() const { return options_; }
  const std::string& DomainOf(std::size_t aWorker) const;

  /** One try at one entry. */
  CallerAnswer Submit(std::size_t aEntry,
                      const std::string& aId,
                      std::size_t aTasks,
                      int aMilliseconds) const;
  CallerAnswer Post(std::size_t aEntry,
                    const std::string& aPath,
                    const std::string& aBody) const;
  /** As callers do: again 1.3 s after no answer, 502 or 504, elsewhere. */
  CallerAnswer SubmitUntilAnswered(std::size_t aEntry,
                                   const std::string& aId,
                                   std::size_t aTasks,
                                   int aMilliseconds) const;
  CallerAnswer Get(std::size_t aEntry, const std::string& aPath) const;
  bool IsReady(std::size_t aEntry) const;

  /** Writes the configuration, with or without the queue "/tally/". */
  void Configure(std::uint64_t aVersion, bool aHasQueue);
  void CloseDomain(const std::string& aDomain);
  void OpenDomain(const std::string& aDomain);
  void ControlStore(const std::string& aMode) const;
  void ControlRunner(std::size_t aIndex, const std::string& aMode) const;
  /** "pass", "cut", "silence" or "one_way" between agents and an entry. */
  void ControlEntryRelay(std::size_t aEntry, const std::string& aMode) const;
  /** The same between every second process and the store. */
  void ControlStoreRelay(const std::string& aMode) const;

  /** Also of runners' former lives. */
  std::vector<RunRecord> Records() const;
  static std::int64_t NowMicroseconds();
  static std::string JobId(std::uint64_t aNumber);

private:
  static constexpr std::size_t kFirstEntry = 11;
  static constexpr std::size_t kFirstWorker = 61;

  std::string Host(std::size_t aNumber) const;
  std::string Address(std::size_t aNumber, int aPort) const;
  std::string WriteSettings(const std::string& aName, const Json&) const;
  void Operate(const Json& aRow) const;
  std::string StoreAddressFor(std::size_t aIndex) const;
  void StartRelay(std::size_t aHost, int aPort, const std::string& aTarget);
  void ControlRelay(std::size_t aHost, const std::string& aMode) const;
  std::unique_ptr<Process> Launch(std::vector<std::string> aArguments,
                                  const std::string& aName) const;

  PlatformOptions options_;
  std::filesystem::path directory_;
  std::string programs_;
  std::size_t network_;
  std::unique_ptr<Process> store_;
  std::vector<std::unique_ptr<Process>> relays_;
  std::vector<std::unique_ptr<Process>> runners_;
  std::vector<std::unique_ptr<Process>> agents_;
  std::vector<std::unique_ptr<Process>> entries_;
};

}

#endif
