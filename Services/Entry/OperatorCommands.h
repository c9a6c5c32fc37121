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

/** One call of an operator's subcommand. */
struct OperatorCall
{
  std::string command;
  std::vector<std::string> arguments;
  /** "http://host:port" of any entry. */
  std::string url;
  OutputFormat format = OutputFormat::Text;
};

/** One line a command, for --help. */
const char*
OperatorCommandsHelp();
bool
IsOperatorCommand(const std::string& aCommand);

/** Runs the command against an entry; the process's exit status. */
int
RunOperatorCommand(const OperatorCall& aCall);

}

#endif
