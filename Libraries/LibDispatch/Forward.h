#ifndef Libraries_LibDispatch_Forward_h
#define Libraries_LibDispatch_Forward_h

namespace vanillaworks::dispatch {

class AgentCore;
class AgentPort;
class ConfigurationHolder;
class Dispatcher;
class DispatcherPort;
class CircuitBreaker;
class MembershipView;
class ReadyQueue;
class RetryBudget;
class RoutingPolicy;
class StartGate;
class UpstreamDirectory;
class VersionFreshness;
struct Answer;
struct ConfigurationDocument;
struct Submission;
struct SubmissionRequest;
struct UpstreamRecord;

}

#endif
