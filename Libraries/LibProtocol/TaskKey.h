#ifndef Libraries_LibProtocol_TaskKey_h
#define Libraries_LibProtocol_TaskKey_h

#include "LibCore/Ids.h"

#include <cstdint>
#include <msgpack.hpp>

namespace vanillaworks::protocol {

/** Permanent identity of one task of a submission. */
struct TaskKey
{
  SubmissionId submission;
  std::uint32_t index = 0;

  friend bool operator==(const TaskKey&, const TaskKey&) = default;
  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;

  MSGPACK_DEFINE_ARRAY(submission, index)
};

}

template<>
struct std::hash<vanillaworks::protocol::TaskKey>
{
  std::size_t operator()(const vanillaworks::protocol::TaskKey& aKey) const
  {
    constexpr std::size_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;
    return std::hash<vanillaworks::SubmissionId>{}(aKey.submission) ^
           (aKey.index * kGoldenRatio);
  }
};

#endif
