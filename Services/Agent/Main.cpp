#include "LibCore/Log.h"
#include "LibService/EventLoop.h"
#include "LibService/SettingsReport.h"
#include "Services/Agent/AgentApp.h"
#include "Services/Agent/HttpUpstreamClient.h"
#include "Services/Agent/JobAgent.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <sstream>

namespace {
using namespace vanillaworks;
namespace po = boost::program_options;

constexpr int kExitUsage = 2;

template<typename App>
int
RunUntilStopped(App& aApp, service::EventLoop& aLoop)
{
  aLoop.OnStopSignal([&aApp] { aApp.BeginStop(); });
  if (!aApp.Start()) {
    fmt::print(stderr, "cannot open a listening address\n");
    return EXIT_FAILURE;
  }
  aLoop.Run();
  Log::Write(Event::ProcessStopped);
  Log::Flush();
  return EXIT_SUCCESS;
}

int
RunPlatformAgent(agent::JobAgentSettings aSettings, const std::string& aPath)
{
  Log::SetFormat(aSettings.process.logFormat);
  Log::SetProcessName("agent/" + aSettings.upstream.Value());
  service::EventLoop loop;
  agent::JobAgent app(std::move(aSettings), loop);
  loop.OnReloadSignal([&aPath, &app] {
    auto settings = service::ReloadSettings<agent::JobAgentSettings>(aPath);
    if (settings) {
      app.Reload(*settings);
    }
  });
  return RunUntilStopped(app, loop);
}

int
RunStandaloneAgent(agent::AgentSettings aSettings, const std::string& aPath)
{
  Log::SetFormat(aSettings.logFormat);
  Log::SetProcessName("agent/" + aSettings.identity.upstream.Value());
  service::EventLoop loop;
  agent::HttpUpstreamClient upstream(
    loop, aSettings.upstreamUrl, aSettings.connections);
  agent::AgentApp app(std::move(aSettings), loop, upstream);
  loop.OnReloadSignal(
    [&aPath] { service::CheckSettings<agent::AgentSettings>(aPath); });
  return RunUntilStopped(app, loop);
}
}

int
main(int aCount, char** aArguments)
{
  po::options_description options("vanillaworks-agent, the sidecar process of "
                                  "an upstream\n\nOptions");
  options.add_options()("help", "print this help and exit")(
    "version", "print the version and exit")(
    "settings",
    po::value<std::string>(),
    "run the agent with this settings file (required)")(
    "check-settings", "check the settings file and exit");
  po::variables_map arguments;
  try {
    po::store(po::parse_command_line(aCount, aArguments, options), arguments);
  } catch (const po::error& error) {
    fmt::print(stderr, "{}\nsee --help\n", error.what());
    return kExitUsage;
  }
  if (arguments.count("help") != 0) {
    std::cout << options;
    return EXIT_SUCCESS;
  }
  if (arguments.count("version") != 0) {
    fmt::print("vanillaworks-agent {}\n", VANILLAWORKS_VERSION);
    return EXIT_SUCCESS;
  }
  if (arguments.count("settings") == 0) {
    fmt::print(stderr, "--settings is required; see --help\n");
    return kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_ALL);
  auto path = arguments["settings"].as<std::string>();
  bool isCheckOnly = arguments.count("check-settings") != 0;
  auto reader = SettingsReader::FromFile(path);
  if (reader.IsError()) {
    service::PrintSettingsIssues({ reader.Error() });
    return kExitUsage;
  }
  if (reader.Value().IsPlatformDeployment()) {
    auto settings = agent::JobAgentSettings::Read(reader.ReleaseValue());
    if (settings.IsError()) {
      service::PrintSettingsIssues(settings.Error());
      return kExitUsage;
    }
    if (isCheckOnly) {
      fmt::print("the settings are valid\n");
      return EXIT_SUCCESS;
    }
    return RunPlatformAgent(settings.ReleaseValue(), path);
  }
  auto settings = agent::AgentSettings::Read(reader.ReleaseValue());
  if (settings.IsError()) {
    service::PrintSettingsIssues(settings.Error());
    return kExitUsage;
  }
  if (isCheckOnly) {
    fmt::print("the settings are valid\n");
    return EXIT_SUCCESS;
  }
  auto validSettings = settings.ReleaseValue();
  // The start time makes the incarnation of a restarted agent larger than that
  // of the process before it.
  validSettings.identity.incarnation = Incarnation(static_cast<std::uint64_t>(
    std::chrono::duration_cast<Microseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count()));
  return RunStandaloneAgent(std::move(validSettings), path);
}
