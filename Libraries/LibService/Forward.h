#ifndef Libraries_LibService_Forward_h
#define Libraries_LibService_Forward_h

struct event;
struct event_base;

namespace vanillaworks::service {

class ControlExchange;
class EventLoop;
class HttpHandler;
class HttpResponder;
class HttpServer;
class Metrics;
struct HttpRequest;

}

#endif
