#include "Services/Entry/OperatorCommands.h"

#include "LibPlatform/HttpClient.h"

#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace vanillaworks::entry {

namespace {
using Json = nlohmann::json;
constexpr Milliseconds kCallTimeout{ 60'000 };
constexpr int kExitUsage = 2;
constexpr int kExitRefused = 3;
constexpr long kFirstErrorStatus = 300;

/** What an entry said, or nothing where it could not be asked. */
struct Said
{
  long status;
  Json body;
};

class Caller
{
public:
  explicit Caller(const OperatorCall& aCall)
    : call_(aCall)
    , client_(kCallTimeout)
  {
  }

  std::optional<Said> Get(const std::string& aPath)
  {
    return Parse(client_.Get(call_.url + aPath));
  }
  std::optional<Said> Post(const std::string& aPath, const std::string& aBody)
  {
    return Parse(client_.Post(call_.url + aPath, aBody));
  }
  std::optional<Said> Delete(const std::string& aPath)
  {
    return Parse(client_.Delete(call_.url + aPath));
  }

  /** Prints the body and turns the status into the process's own. */
  int Finish(const std::optional<Said>& aSaid,
             const std::function<std::string(const Json&)>& aReadable)
  {
    if (!aSaid) {
      fmt::print(stderr, "no answer from {}\n", call_.url);
      return EXIT_FAILURE;
    }
    bool isError = aSaid->status >= kFirstErrorStatus;
    if (call_.format == OutputFormat::Json || isError) {
      fmt::print("{}\n", aSaid->body.dump(2));
    } else {
      fmt::print("{}", aReadable(aSaid->body));
    }
    return isError ? kExitRefused : EXIT_SUCCESS;
  }

private:
  std::optional<Said> Parse(
    Result<platform::HttpResponse, platform::TableError> aReply)
  {
    if (aReply.IsError()) {
      return {};
    }
    auto body = Json::parse(aReply.Value().body, nullptr, false);
    if (body.is_discarded()) {
      return {};
    }
    return Said{ aReply.Value().status, std::move(body) };
  }

  const OperatorCall& call_;
  platform::HttpClient client_;
};

std::string
Pretty(const Json& aBody)
{
  return aBody.dump(2) + "\n";
}

std::string
ReadableUpstreams(const Json& aBody)
{
  auto text = fmt::format("{:<16} {:<16} {:<22} {:>5} {:>5}\n",
                          "UPSTREAM",
                          "FAILURE DOMAIN",
                          "STATE",
                          "SLOTS",
                          "BUSY");
  for (const auto& upstream : aBody.at("upstreams")) {
    text += fmt::format("{:<16} {:<16} {:<22} {:>5} {:>5}\n",
                        upstream.at("upstream").get<std::string>(),
                        upstream.at("failure_domain").get<std::string>(),
                        upstream.at("state").get<std::string>(),
                        upstream.at("slots").get<int>(),
                        upstream.at("occupancy").get<int>());
  }
  return text;
}

std::string
ReadableDecisions(const Json& aBody)
{
  std::string text;
  for (const auto& decision : aBody.at("decisions")) {
    text += fmt::format("{:>10.3f} ms  {:<20}",
                        decision.at("after_ms").get<double>(),
                        decision.at("decision").get<std::string>());
    if (decision.contains("upstream")) {
      text += fmt::format(" task {} at {}",
                          decision.at("task").get<int>(),
                          decision.at("upstream").get<std::string>());
    }
    if (decision.contains("reason")) {
      text += fmt::format(" ({})", decision.at("reason").get<std::string>());
    }
    text += "\n";
  }
  return text;
}

std::string
ReadablePatch(const Json& aBody)
{
  return fmt::format("version {} accepted, {}\n",
                     aBody.at("version").get<std::uint64_t>(),
                     aBody.at("in_force").get<bool>()
                       ? "in force"
                       : "not yet known to be in force everywhere");
}

/** Patches the newest version, once; a race is reported, not repeated. */
int
PatchCurrent(Caller& aCaller, const Json& aPatch)
{
  auto current = aCaller.Get("/v1/configuration");
  if (!current || !current->body.contains("version")) {
    return aCaller.Finish(current, Pretty);
  }
  Json request{ { "base_version", current->body["version"] },
                { "patch", aPatch } };
  return aCaller.Finish(
    aCaller.Post("/v1/configuration/patches", request.dump()), ReadablePatch);
}

int
SetState(Caller& aCaller,
         const char* aSection,
         const std::string& aName,
         const char* aState)
{
  return PatchCurrent(
    aCaller, Json{ { aSection, { { aName, { { "state", aState } } } } } });
}

int
PatchFromText(Caller& aCaller,
              const std::string& aBase,
              const std::string& aPatch)
{
  auto base = Json::parse(aBase, nullptr, false);
  auto patch = Json::parse(aPatch, nullptr, false);
  if (!base.is_number_unsigned() || patch.is_discarded()) {
    fmt::print(stderr, "usage: patch VERSION JSON\n");
    return kExitUsage;
  }
  Json request{ { "base_version", base }, { "patch", patch } };
  return aCaller.Finish(
    aCaller.Post("/v1/configuration/patches", request.dump()), ReadablePatch);
}

int
SubmitFile(Caller& aCaller, const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    fmt::print(stderr, "can't open {}\n", aPath);
    return kExitUsage;
  }
  std::stringstream text;
  text << file.rdbuf();
  return aCaller.Finish(aCaller.Post("/v1/submissions", text.str()), Pretty);
}

struct Command
{
  std::size_t arguments;
  std::function<int(Caller&, const std::vector<std::string>&)> run;
};

const std::map<std::string, Command>&
Commands()
{
  using Arguments = std::vector<std::string>;
  static const std::map<std::string, Command> sCommands{
    { "configuration",
      { 0,
        [](Caller& aCaller, const Arguments&) {
          return aCaller.Finish(aCaller.Get("/v1/configuration"), Pretty);
        } } },
    { "patch",
      { 2,
        [](Caller& aCaller, const Arguments& aArguments) {
          return PatchFromText(aCaller, aArguments[0], aArguments[1]);
        } } },
    { "close-domain",
      { 1,
        [](Caller& aCaller, const Arguments& aArguments) {
          return SetState(aCaller, "failure_domains", aArguments[0], "closed");
        } } },
    { "open-domain",
      { 1,
        [](Caller& aCaller, const Arguments& aArguments) {
          return SetState(aCaller, "failure_domains", aArguments[0], "open");
        } } },
    { "leave",
      { 1,
        [](Caller& aCaller, const Arguments& aArguments) {
          return SetState(aCaller, "upstreams", aArguments[0], "leaving");
        } } },
    { "return",
      { 1,
        [](Caller& aCaller, const Arguments& aArguments) {
          return SetState(aCaller, "upstreams", aArguments[0], "in_service");
        } } },
    { "upstreams",
      { 0,
        [](Caller& aCaller, const Arguments&) {
          return aCaller.Finish(aCaller.Get("/v1/upstreams"),
                                ReadableUpstreams);
        } } },
    { "submit",
      { 1,
        [](Caller& aCaller, const Arguments& aArguments) {
          return SubmitFile(aCaller, aArguments[0]);
        } } },
    { "answer",
      { 1,
        [](Caller& aCaller, const Arguments& aArguments) {
          return aCaller.Finish(aCaller.Get("/v1/submissions/" + aArguments[0]),
                                Pretty);
        } } },
    { "decisions",
      { 1,
        [](Caller& aCaller, const Arguments& aArguments) {
          return aCaller.Finish(
            aCaller.Get("/v1/submissions/" + aArguments[0] + "/decisions"),
            ReadableDecisions);
        } } },
    { "cancel",
      { 1,
        [](Caller& aCaller, const Arguments& aArguments) {
          return aCaller.Finish(
            aCaller.Delete("/v1/submissions/" + aArguments[0]), Pretty);
        } } },
  };
  return sCommands;
}
}

const char*
OperatorCommandsHelp()
{
  return "Commands for operators, each with --url and --json\n"
         "  configuration         the configuration and its version\n"
         "  patch VERSION JSON    a merge patch against that version\n"
         "  close-domain NAME     take a failure domain out\n"
         "  open-domain NAME      bring a failure domain back\n"
         "  leave UPSTREAM        no new work for an upstream\n"
         "  return UPSTREAM       work for an upstream again\n"
         "  upstreams             upstreams, their state and why\n"
         "  submit FILE           submit a job and print its answer\n"
         "  answer ID             the answer of a submission\n"
         "  decisions ID          what happened to a submission, and why\n"
         "  cancel ID             cancel a submission\n"
         "Without an entry:\n"
         "  explain ID [FILE...]  a request's story from logs\n";
}

bool
IsOperatorCommand(const std::string& aCommand)
{
  return Commands().contains(aCommand);
}

int
RunOperatorCommand(const OperatorCall& aCall)
{
  const auto& command = Commands().at(aCall.command);
  if (aCall.arguments.size() != command.arguments) {
    fmt::print(stderr,
               "{} takes {} argument(s)\n{}",
               aCall.command,
               command.arguments,
               OperatorCommandsHelp());
    return kExitUsage;
  }
  Caller caller(aCall);
  return command.run(caller, aCall.arguments);
}

}
