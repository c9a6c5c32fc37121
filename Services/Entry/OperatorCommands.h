#ifndef Services_Entry_OperatorCommands_h
#define Services_Entry_OperatorCommands_h

#include <string>
#include <vector>

namespace vanillaworks::entry {

enum class OutputFormat
{
  Text,
  Json
};

/** One invocation of an operator's command. */
struct OperatorCall
{
  std::string command;
  std::vector<std::string> arguments;
  /** "http://host:port" of any entry. */
  std::string url;
  OutputFormat format = OutputFormat::Text;
};

/** The help text, with one line per command. */
const char*
OperatorCommandsHelp();
bool
IsOperatorCommand(const std::string& aCommand);

/**
 * Runs the command against an entry and returns the process's exit status.
 * aCall.command must be an operator command.
 */
int
RunOperatorCommand(const OperatorCall& aCall);

}

#endif
