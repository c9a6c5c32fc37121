#ifndef Libraries_LibCore_EventCatalogue_h
#define Libraries_LibCore_EventCatalogue_h

/**
 * The log events of both programs: number, name, meaning. The number of a
 * removed event is never reused. docs/EVENTS.md lists the same rows.
 */
#define VW_FOR_EACH_EVENT(X)                                                   \
  X(100, ProcessStarted, "the process has started and accepts connections")    \
  X(101, ProcessStopping, "a graceful stop has begun")                         \
  X(102, ProcessStopped, "the process is exiting")                             \
  X(103, StopBoundReached, "the graceful stop timed out and was aborted")      \
  X(104, SettingsReloaded, "the settings file was reloaded")                   \
  X(105, LinesDropped, "log lines were dropped by the rate or buffer limit")   \
  X(106, ClientClosed, "a limit on clients closed a client's connection")      \
  X(200, LinkOpened, "a link to another process was established")              \
  X(201, LinkClosed, "a link to another process was closed")                   \
  X(202, LinkSilent, "a link was closed because its peer was silent too long") \
  X(203, FrameRefused, "a frame was invalid and its link was closed")          \
  X(204, LinkQueueFull, "a link was closed as its outbound queue was full")    \
  X(300, ConfigurationAdopted, "a newer configuration version was adopted")    \
  X(302, PatchAccepted, "an operator's patch became a configuration version")  \
  X(303, PatchRefused, "an operator's patch was rejected")                     \
  X(304, DomainClosed, "operators closed a failure domain")                    \
  X(305, DomainOpened, "operators opened a failure domain")                    \
  X(306, OperatorRowSkipped, "a malformed row of the operators was skipped")   \
  X(400, TableUnavailable, "the table service stopped responding")             \
  X(401, TableAvailable, "the table service responds again")                   \
  X(500, UpstreamAnnounced, "an upstream registered with this entry")          \
  X(501, UpstreamLost, "an upstream's process was lost")                       \
  X(504, UpstreamDrained, "a draining upstream has no work left")              \
  X(505, RunnerAdopted, "a new incarnation of the runner was adopted")         \
  X(506, RunnerLeft, "the runner announced that it is shutting down")          \
  X(507, RunnerReportSkipped, "a malformed report of a runner was skipped")    \
  X(508, UpstreamChanged, "an upstream's status changed")                      \
  X(509, RunnerReleased, "the runner's announcement was answered: it may end") \
  X(510,                                                                       \
    RunnerReportIgnored,                                                       \
    "another runner reported beside the present one")                          \
  X(600, EntryMemberLapsed, "another entry's lease expired")                   \
  X(602, TakeoverBegun, "the takeover of a lost entry's submission has begun") \
  X(604, Reincarnated, "this entry lost its lease and has a new incarnation")  \
  X(701, JobRejected, "a job was rejected before any of its tasks ran")        \
  X(702, JobAnswered, "a job's caller was sent its response")                  \
  X(703, TaskPlaced, "a task was assigned to an agent")                        \
  X(704, TaskEnded, "an agent reported the outcome of a run")                  \
  X(706, RunEnded, "a run ended at the runner")                                \
  X(707, CallerGone, "a caller disconnected before its response was sent")     \
  X(708, StartUnanswered, "a start call got no answer: the task may have run") \
  X(709, TaskReleased, "a run of a lost agent counts as over")                 \
  X(710, UnexpectedRun, "the runner lists a run that its agent does not await")

#endif
