#ifndef Libraries_LibCore_Ids_h
#define Libraries_LibCore_Ids_h

#include "LibCore/Strong.h"

#include <cstdint>
#include <string>

namespace vanillaworks {

using SubmissionId = Strong<std::string, struct SubmissionIdTag>;
using TaskId = Strong<std::string, struct TaskIdTag>;
using UpstreamId = Strong<std::string, struct UpstreamIdTag>;
using FailureDomainId = Strong<std::string, struct FailureDomainIdTag>;
using EntryId = Strong<std::string, struct EntryIdTag>;
using TeamId = Strong<std::string, struct TeamIdTag>;
using TaskKind = Strong<std::string, struct TaskKindTag>;

/** One life of a process: a restarted process has another incarnation. */
using Incarnation = Strong<std::uint64_t, struct IncarnationTag>;
using ConfigurationVersion =
  Strong<std::uint64_t, struct ConfigurationVersionTag>;
/** Numbers the callers that wait for an answer within one entry. */
using WaiterId = Strong<std::uint64_t, struct WaiterIdTag>;

}

#endif
