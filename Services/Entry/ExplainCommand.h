#ifndef Services_Entry_ExplainCommand_h
#define Services_Entry_ExplainCommand_h

#include "Services/Entry/OperatorCommands.h"

#include <istream>
#include <string>
#include <vector>

namespace vanillaworks::entry {

/** One line of some process's log that concerns a request. */
struct LogRecord
{
  std::string time;
  std::string process;
  std::string event;
  /** The other fields, as written. */
  std::vector<std::pair<std::string, std::string>> fields;
};

/**
 * The lines of aLog that name the request, in the order of the log. Whatever
 * stands before a line's first brace is skipped; what can't be read is left
 * out. Thread safe.
 */
std::vector<LogRecord>
ReadRecords(std::istream& aLog, const std::string& aRequest);

/** One line each, by time; lines of one process keep their order. */
std::string
FormatRecords(std::vector<LogRecord> aRecords, OutputFormat aFormat);

/** explain ID [FILE...]: standard input without a file. */
int
RunExplain(const std::vector<std::string>& aArguments, OutputFormat aFormat);

}

#endif
