#ifndef Libraries_LibLink_Forward_h
#define Libraries_LibLink_Forward_h

struct bufferevent;
struct event;
struct event_base;
struct evconnlistener;

namespace vanillaworks::link {

class ReconnectBackoff;
class Link;
class LinkManager;
class LinkObserver;

}

#endif
