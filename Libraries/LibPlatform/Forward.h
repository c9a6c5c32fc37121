#ifndef Libraries_LibPlatform_Forward_h
#define Libraries_LibPlatform_Forward_h

namespace vanillaworks::platform {

class ClaimKeeper;
class HttpClient;
class ObjectStore;
class PatchWriter;
class RateLimit;
class TableService;
struct TableRead;
struct TableRow;
struct TableTransaction;

}

#endif
