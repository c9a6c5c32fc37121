#ifndef Libraries_LibPlatform_Forward_h
#define Libraries_LibPlatform_Forward_h

namespace vanillaworks::platform {

class OperationBatcher;
class HttpClient;
class ObjectStore;
class PatchWriter;
class RateLimiter;
class TableService;
struct TableRead;
struct TableRow;
struct TableTransaction;

}

#endif
