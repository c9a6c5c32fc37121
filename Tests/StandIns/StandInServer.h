#ifndef Tests_StandIns_StandInServer_h
#define Tests_StandIns_StandInServer_h

#include "LibCore/Time.h"

#include <functional>
#include <memory>
#include <string>

struct event_base;
struct evhttp;
struct evhttp_request;

namespace vanillaworks::standins {

/**
 * An HTTP request that a stand-in may answer at any later time, or never. To be
 * used on the thread of its server.
 */
class Exchange
{
public:
  explicit Exchange(evhttp_request* aRequest);

  std::string Path() const;
  std::string Body() const;
  bool IsGet() const;
  void Respond(int aStatus, const std::string& aBody);
  /** Closes the connection without a response. */
  void CloseConnection();

private:
  evhttp_request* request_;
};

/** HTTP server for tests. It runs on the thread of its libevent event base. */
class StandInServer
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  StandInServer(event_base* aBase, const std::string& aAddress, Handler);
  ~StandInServer();
  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  bool IsListening() const { return isListening_; }
  /** Calls aFunction once from the event base after aDelay. */
  void RunAfter(Microseconds aDelay, std::function<void()> aFunction);

private:
  event_base* base_;
  evhttp* http_;
  Handler handler_;
  bool isListening_ = false;
};

}

#endif
