#include "LibCore/Log.h"
#include "LibService/EventLoop.h"
#include "LibService/SettingsReport.h"
#include "Services/Entry/EntryApp.h"
#include "Services/Entry/ExplainCommand.h"
#include "Services/Entry/JobEntry.h"
#include "Services/Entry/OperatorCommands.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <curl/curl.h>
#include <fmt/format.h>
#include <iostream>

namespace {
using namespace vanillaworks;
namespace po = boost::program_options;

constexpr int kExitUsage = 2;

LogFormat
FormatOf(const entry::EntrySettings& aSettings)
{
  return aSettings.logFormat;
}

LogFormat
FormatOf(const entry::JobEntrySettings& aSettings)
{
  return aSettings.process.logFormat;
}

void
Reload(entry::EntryApp&, const std::string& aPath)
{
  service::CheckSettings<entry::EntrySettings>(aPath);
}

void
Reload(entry::JobEntry& aApp, const std::string& aPath)
{
  auto settings = service::ReloadSettings<entry::JobEntrySettings>(aPath);
  if (settings) {
    aApp.Reload(*settings);
  }
}

/** App is EntryApp or JobEntry; Settings is the matching settings type. */
template<typename App, typename Settings>
int
Serve(Settings aSettings, const std::string& aPath)
{
  Log::SetFormat(FormatOf(aSettings));
  Log::SetProcessName("entry/" + aSettings.entry.Value());
  service::EventLoop loop;
  App app(std::move(aSettings), loop);
  loop.OnStopSignal([&app] { app.BeginStop(); });
  loop.OnReloadSignal([&app, &aPath] { Reload(app, aPath); });
  if (!app.Start()) {
    fmt::print(stderr, "cannot open a listening address\n");
    return EXIT_FAILURE;
  }
  loop.Run();
  Log::Write(Event::ProcessStopped);
  Log::Flush();
  return EXIT_SUCCESS;
}

template<typename App, typename Settings>
int
ServeWith(SettingsReader aReader, const std::string& aPath, bool aOnlyCheck)
{
  auto settings = Settings::Read(std::move(aReader));
  if (settings.IsError()) {
    service::PrintSettingsIssues(settings.Error());
    return kExitUsage;
  }
  if (aOnlyCheck) {
    fmt::print("the settings are valid\n");
    return EXIT_SUCCESS;
  }
  return Serve<App, Settings>(settings.ReleaseValue(), aPath);
}

int
ServeFromFile(const std::string& aPath, bool aOnlyCheck)
{
  auto reader = SettingsReader::FromFile(aPath);
  if (reader.IsError()) {
    service::PrintSettingsIssues({ reader.Error() });
    return kExitUsage;
  }
  if (reader.Value().IsPlatformDeployment()) {
    return ServeWith<entry::JobEntry, entry::JobEntrySettings>(
      reader.ReleaseValue(), aPath, aOnlyCheck);
  }
  return ServeWith<entry::EntryApp, entry::EntrySettings>(
    reader.ReleaseValue(), aPath, aOnlyCheck);
}

int
RunCommand(const po::variables_map& aValues)
{
  auto words = aValues["command"].as<std::vector<std::string>>();
  entry::OperatorCall call;
  call.command = words.front();
  call.arguments.assign(words.begin() + 1, words.end());
  call.url = aValues["url"].as<std::string>();
  call.format = aValues.count("json") != 0 ? entry::OutputFormat::Json
                                           : entry::OutputFormat::Text;
  if (call.command == "explain") {
    return entry::RunExplain(call.arguments, call.format);
  }
  if (!entry::IsOperatorCommand(call.command)) {
    fmt::print(stderr,
               "unknown command '{}'\n{}",
               call.command,
               entry::OperatorCommandsHelp());
    return kExitUsage;
  }
  return entry::RunOperatorCommand(call);
}
}

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  po::options_description options(
    "vanillaworks-entry, the entry process: accepts "
    "requests and dispatches their tasks\n\nOptions");
  options.add_options()("help", "print this help and exit")(
    "version",
    "print the version and exit")("settings",
                                  po::value<std::string>(),
                                  "run the entry with this settings file")(
    "check-settings", "check the settings file and exit")(
    "url",
    po::value<std::string>()->default_value("http://127.0.0.1:8080"),
    "the HTTP address of an entry that commands are sent to")(
    "json", "print the output of commands as JSON")(
    "command",
    po::value<std::vector<std::string>>(),
    "a command and its arguments");
  po::positional_options_description positional;
  positional.add("command", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(aCount, aArguments)
                .options(options)
                .positional(positional)
                .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    fmt::print(stderr, "{}\nsee --help\n", error.what());
    return kExitUsage;
  }
  if (values.count("help") != 0) {
    std::cout << options << "\n" << entry::OperatorCommandsHelp();
    return EXIT_SUCCESS;
  }
  if (values.count("version") != 0) {
    fmt::print("vanillaworks-entry {}\n", VANILLAWORKS_VERSION);
    return EXIT_SUCCESS;
  }
  curl_global_init(CURL_GLOBAL_ALL);
  if (values.count("command") != 0) {
    return RunCommand(values);
  }
  if (values.count("settings") == 0) {
    fmt::print(stderr, "--settings or a command is required; see --help\n");
    return kExitUsage;
  }
  return ServeFromFile(values["settings"].as<std::string>(),
                       values.count("check-settings") != 0);
}
