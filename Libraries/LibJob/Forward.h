#ifndef Libraries_LibJob_Forward_h
#define Libraries_LibJob_Forward_h

namespace vanillaworks::job {

class ResponseTimeEstimator;
class ControlFetchLimiter;
class ControlView;
class DrainRate;
class JobDispatcher;
class JobDispatcherPort;
class LostRunnerCounts;
class Placement;
class RunSupervisor;
class RunSupervisorPort;
class RunnerClock;
class RunnerHealth;
class StartupHold;
class UpstreamView;
struct HoldAnswer;
struct HoldCall;
struct Job;
struct JobAnswer;
struct JobRequest;
struct Run;
struct RunBounds;
struct RunnerReport;
struct StartCall;
struct StopCall;

}

#endif
