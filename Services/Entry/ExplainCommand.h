#ifndef Services_Entry_ExplainCommand_h
#define Services_Entry_ExplainCommand_h

#include "Services/Entry/OperatorCommands.h"

#include <istream>
#include <string>
#include <vector>

namespace vanillaworks::entry {

/** One record of a process's log that mentions a request. */
struct LogRecord
{
  /** ISO 8601, as written in the log. */
  std::string time;
  std::string process;
  std::string event;
  /**
   * The other fields in their written order; values that aren't strings are
   * JSON text.
   */
  std::vector<std::pair<std::string, std::string>> fields;
};

/**
 * Returns the records of aLog that contain the text aRequest, in the order of
 * the log. Text before a line's first brace is skipped; lines that are not a
 * JSON object are left out. Thread safe.
 */
std::vector<LogRecord>
ReadRecords(std::istream& aLog, const std::string& aRequest);

/**
 * Formats one line per record, sorted by time; records with equal times keep
 * their order.
 */
std::string
FormatRecords(std::vector<LogRecord> aRecords, OutputFormat aFormat);

/**
 * Runs "explain ID [FILE...]", which reads standard input if no file is given.
 * Returns the process's exit status.
 */
int
RunExplain(const std::vector<std::string>& aArguments, OutputFormat aFormat);

}

#endif
