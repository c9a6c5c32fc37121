#ifndef Libraries_LibCore_Ids_h
#define Libraries_LibCore_Ids_h

#include "LibCore/StrongType.h"

#include <cstdint>
#include <string>

namespace vanillaworks {

using SubmissionId = StrongType<std::string, struct SubmissionIdTag>;
using TaskId = StrongType<std::string, struct TaskIdTag>;
using UpstreamId = StrongType<std::string, struct UpstreamIdTag>;
using FailureDomainId = StrongType<std::string, struct FailureDomainIdTag>;
using EntryId = StrongType<std::string, struct EntryIdTag>;
using TeamId = StrongType<std::string, struct TeamIdTag>;
using TaskKind = StrongType<std::string, struct TaskKindTag>;

/** Identifies one execution of a process; each restart gets a new value. */
using Incarnation = StrongType<std::uint64_t, struct IncarnationTag>;
using ConfigurationVersion =
  StrongType<std::uint64_t, struct ConfigurationVersionTag>;
/** Identifies a caller that awaits a response, unique within one entry. */
using WaiterId = StrongType<std::uint64_t, struct WaiterIdTag>;

}

#endif
