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
constexpr Milliseconds kRequestTimeout{ 60'000 };
constexpr int kExitUsage = 2;
constexpr int kExitRefused = 3;
constexpr long kFirstErrorStatus = 300;

/** An entry's HTTP response. */
struct Response
{
  long status;
  Json body;
};

class EntryClient
{
public:
  explicit EntryClient(const OperatorCall& aCall)
    : call_(aCall)
    , httpClient_(kRequestTimeout)
  {
  }

  std::optional<Response> Get(const std::string& aPath)
  {
    return Parse(httpClient_.Get(call_.url + aPath));
  }
  std::optional<Response> Post(const std::string& aPath,
                               const std::string& aBody)
  {
    return Parse(httpClient_.Post(call_.url + aPath, aBody));
  }
  std::optional<Response> Delete(const std::string& aPath)
  {
    return Parse(httpClient_.Delete(call_.url + aPath));
  }

  /**
   * Prints the response, and returns the exit status for its HTTP status. Fails
   * if there is no response.
   */
  int PrintResponse(const std::optional<Response>& aResponse,
                    const std::function<std::string(const Json&)>& aFormat)
  {
    if (!aResponse) {
      fmt::print(stderr, "no response, or no JSON, from {}\n", call_.url);
      return EXIT_FAILURE;
    }
    bool isError = aResponse->status >= kFirstErrorStatus;
    if (call_.format == OutputFormat::Json || isError) {
      fmt::print("{}\n", aResponse->body.dump(2));
    } else {
      fmt::print("{}", aFormat(aResponse->body));
    }
    return isError ? kExitRefused : EXIT_SUCCESS;
  }

private:
  std::optional<Response> Parse(
    Result<platform::HttpResponse, platform::TableError> aResponse)
  {
    if (aResponse.IsError()) {
      return {};
    }
    auto body = Json::parse(aResponse.Value().body, nullptr, false);
    if (body.is_discarded()) {
      return {};
    }
    return Response{ aResponse.Value().status, std::move(body) };
  }

  const OperatorCall& call_;
  platform::HttpClient httpClient_;
};

std::string
FormatJson(const Json& aBody)
{
  return aBody.dump(2) + "\n";
}

std::string
FormatUpstreams(const Json& aBody)
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
FormatDecisions(const Json& aBody)
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
FormatPatchResult(const Json& aBody)
{
  return fmt::format("version {} accepted, {}\n",
                     aBody.at("version").get<std::uint64_t>(),
                     aBody.at("in_force").get<bool>()
                       ? "in force"
                       : "not yet known to be in force everywhere");
}

/**
 * Patches the newest version. A conflict with another patch is reported and not
 * retried.
 */
int
PatchCurrent(EntryClient& aClient, const Json& aPatch)
{
  auto current = aClient.Get("/v1/configuration");
  if (!current || !current->body.contains("version")) {
    return aClient.PrintResponse(current, FormatJson);
  }
  Json request{ { "base_version", current->body["version"] },
                { "patch", aPatch } };
  return aClient.PrintResponse(
    aClient.Post("/v1/configuration/patches", request.dump()),
    FormatPatchResult);
}

int
SetState(EntryClient& aClient,
         const char* aSection,
         const std::string& aName,
         const char* aState)
{
  return PatchCurrent(
    aClient, Json{ { aSection, { { aName, { { "state", aState } } } } } });
}

int
PatchFromText(EntryClient& aClient,
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
  return aClient.PrintResponse(
    aClient.Post("/v1/configuration/patches", request.dump()),
    FormatPatchResult);
}

int
SubmitFile(EntryClient& aClient, const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    fmt::print(stderr, "cannot open submission file {}\n", aPath);
    return kExitUsage;
  }
  std::stringstream text;
  text << file.rdbuf();
  return aClient.PrintResponse(aClient.Post("/v1/submissions", text.str()),
                               FormatJson);
}

struct Command
{
  std::size_t argumentCount;
  std::function<int(EntryClient&, const std::vector<std::string>&)> run;
};

const std::map<std::string, Command>&
Commands()
{
  using Arguments = std::vector<std::string>;
  static const std::map<std::string, Command> sCommands{
    { "configuration",
      { 0,
        [](EntryClient& aClient, const Arguments&) {
          return aClient.PrintResponse(aClient.Get("/v1/configuration"),
                                       FormatJson);
        } } },
    { "patch",
      { 2,
        [](EntryClient& aClient, const Arguments& aArguments) {
          return PatchFromText(aClient, aArguments[0], aArguments[1]);
        } } },
    { "close-domain",
      { 1,
        [](EntryClient& aClient, const Arguments& aArguments) {
          return SetState(aClient, "failure_domains", aArguments[0], "closed");
        } } },
    { "open-domain",
      { 1,
        [](EntryClient& aClient, const Arguments& aArguments) {
          return SetState(aClient, "failure_domains", aArguments[0], "open");
        } } },
    { "leave",
      { 1,
        [](EntryClient& aClient, const Arguments& aArguments) {
          return SetState(aClient, "upstreams", aArguments[0], "leaving");
        } } },
    { "return",
      { 1,
        [](EntryClient& aClient, const Arguments& aArguments) {
          return SetState(aClient, "upstreams", aArguments[0], "in_service");
        } } },
    { "upstreams",
      { 0,
        [](EntryClient& aClient, const Arguments&) {
          return aClient.PrintResponse(aClient.Get("/v1/upstreams"),
                                       FormatUpstreams);
        } } },
    { "submit",
      { 1,
        [](EntryClient& aClient, const Arguments& aArguments) {
          return SubmitFile(aClient, aArguments[0]);
        } } },
    { "answer",
      { 1,
        [](EntryClient& aClient, const Arguments& aArguments) {
          return aClient.PrintResponse(
            aClient.Get("/v1/submissions/" + aArguments[0]), FormatJson);
        } } },
    { "decisions",
      { 1,
        [](EntryClient& aClient, const Arguments& aArguments) {
          return aClient.PrintResponse(
            aClient.Get("/v1/submissions/" + aArguments[0] + "/decisions"),
            FormatDecisions);
        } } },
    { "cancel",
      { 1,
        [](EntryClient& aClient, const Arguments& aArguments) {
          return aClient.PrintResponse(
            aClient.Delete("/v1/submissions/" + aArguments[0]), FormatJson);
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
         "  close-domain NAME     take a failure domain out of service\n"
         "  open-domain NAME      return a failure domain to service\n"
         "  leave UPSTREAM        send no new work to an upstream\n"
         "  return UPSTREAM       send work to an upstream again\n"
         "  upstreams             the upstreams and why each is in its state\n"
         "  submit FILE           submit a job and print its answer\n"
         "  answer ID             the answer of a submission\n"
         "  decisions ID          the decisions on a submission, with reasons\n"
         "  cancel ID             cancel a submission\n"
         "Without an entry:\n"
         "  explain ID [FILE...]  the log records about a request, by time\n";
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
  if (aCall.arguments.size() != command.argumentCount) {
    fmt::print(stderr,
               "{} expects {} argument(s)\n{}",
               aCall.command,
               command.argumentCount,
               OperatorCommandsHelp());
    return kExitUsage;
  }
  EntryClient client(aCall);
  return command.run(client, aCall.arguments);
}

}
