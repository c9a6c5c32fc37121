#ifndef Libraries_LibCore_LogBuffer_h
#define Libraries_LibCore_LogBuffer_h

#include "LibCore/Event.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace vanillaworks {

struct LogLimits
{
  /** Limit on the total size of the lines that wait to be written. */
  std::size_t maxBytes = std::size_t{ 256 } * 1024;
  /** Per event; excess lines are counted and reported once a second. */
  std::uint32_t linesPerSecond = 1000;
};

/** Decides which lines are dropped first when the buffer fills up. */
enum class LogPriority : std::uint8_t
{
  /** Steps of normal operation; admitted to half of the buffer only. */
  Routine,
  /** Failures, and changes of the process's view of the system. */
  Important
};

/** The number of dropped lines of one event. */
struct DroppedLines
{
  Event event;
  std::uint64_t count;
};

/**
 * Queues log lines until they are written. The queue is bounded in bytes and in
 * lines per second of each event, so that logging neither blocks nor uses
 * unbounded memory. Not thread safe.
 */
class LogBuffer
{
public:
  explicit LogBuffer(LogLimits aLimits)
    : limits_(aLimits)
  {
  }

  /**
   * Whether a line of that event is accepted. An accepted line counts towards
   * the rate limit, a rejected one as dropped.
   */
  bool TryAdmit(Event aEvent, LogPriority aPriority, MonotonicTime aNow);
  /** Precondition: TryAdmit() returned true. aLine has no final newline. */
  void Add(std::string aLine);

  /**
   * Removes and returns whole lines, at most aMaxBytes in total; a longer line
   * is returned on its own.
   */
  std::string Take(std::size_t aMaxBytes);
  /**
   * Drops per event that no earlier call returned. The drops of a one-second
   * window are included once the window has ended.
   */
  std::vector<DroppedLines> TakeDropCounts(MonotonicTime aNow);

  bool IsEmpty() const { return lines_.empty(); }
  std::size_t Bytes() const { return bytes_; }
  std::uint64_t Dropped() const { return dropped_; }

private:
  struct Rate
  {
    std::uint32_t written = 0;
    std::uint64_t dropped = 0;
  };

  LogLimits limits_;
  std::deque<std::string> lines_;
  std::size_t bytes_ = 0;
  std::uint64_t dropped_ = 0;
  MonotonicTime rateWindowStart_;
  std::map<Event, Rate> rates_;
  std::map<Event, std::uint64_t> unreportedDrops_;
};

}

#endif
