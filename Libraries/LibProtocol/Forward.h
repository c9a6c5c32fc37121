#ifndef Libraries_LibProtocol_Forward_h
#define Libraries_LibProtocol_Forward_h

namespace vanillaworks::protocol {

class FrameDecoder;
struct AgentHello;
struct Cancel;
struct ConfigurationUpdate;
struct ControlRequest;
struct ControlUpdate;
struct EntryHello;
struct EntryList;
struct Fence;
struct FenceReport;
struct Frame;
struct Goodbye;
struct Header;
struct Reconcile;
struct Registered;
struct Start;
struct TaskKey;
struct TaskResult;
struct Welcome;

}

#endif
