#include "LibCore/LogBuffer.h"

namespace vanillaworks {

namespace {
constexpr std::chrono::seconds kRateWindow{ 1 };
}

bool
LogBuffer::TryAdmit(Event aEvent, LogPriority aPriority, MonotonicTime aNow)
{
  if (aNow - rateWindowStart_ >= kRateWindow) {
    rateWindowStart_ = aNow;
    for (auto& [event, rate] : rates_) {
      if (rate.dropped != 0) {
        unreportedDrops_[event] += rate.dropped;
      }
      rate = {};
    }
  }
  auto& rate = rates_[aEvent];
  auto byteLimit = aPriority == LogPriority::Important ? limits_.maxBytes
                                                       : limits_.maxBytes / 2;
  if (rate.written >= limits_.linesPerSecond || bytes_ >= byteLimit) {
    ++rate.dropped;
    ++dropped_;
    return false;
  }
  ++rate.written;
  return true;
}

void
LogBuffer::Add(std::string aLine)
{
  aLine += '\n';
  bytes_ += aLine.size();
  lines_.push_back(std::move(aLine));
}

std::string
LogBuffer::Take(std::size_t aMaxBytes)
{
  std::string chunk;
  while (!lines_.empty()) {
    auto& line = lines_.front();
    if (!chunk.empty() && chunk.size() + line.size() > aMaxBytes) {
      break;
    }
    bytes_ -= line.size();
    chunk += line;
    lines_.pop_front();
  }
  return chunk;
}

std::vector<DroppedLines>
LogBuffer::TakeDropCounts(MonotonicTime aNow)
{
  std::vector<DroppedLines> dropped;
  if (aNow - rateWindowStart_ >= kRateWindow) {
    for (auto& [event, rate] : rates_) {
      if (rate.dropped != 0) {
        unreportedDrops_[event] += rate.dropped;
        rate.dropped = 0;
      }
    }
  }
  for (const auto& [event, count] : unreportedDrops_) {
    dropped.push_back({ event, count });
  }
  unreportedDrops_.clear();
  return dropped;
}

}
