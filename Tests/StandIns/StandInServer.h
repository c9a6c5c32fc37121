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

/** A request that a stand-in answers when it likes, or never. */
class Exchange
{
public:
  explicit Exchange(evhttp_request* aRequest);

  std::string Path() const;
  std::string Body() const;
  bool IsGet() const;
  void Reply(int aStatus, const std::string& aBody);
  /** Closes the connection without an answer. */
  void Drop();

private:
  evhttp_request* request_;
};

/** A small HTTP server for tests (libevent's), on one thread. */
class StandInServer
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  StandInServer(event_base* aBase, const std::string& aAddress, Handler);
  ~StandInServer();
  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  bool IsListening() const { return listening_; }
  void After(Microseconds aDelay, std::function<void()> aFunction);

private:
  event_base* base_;
  evhttp* http_;
  Handler handler_;
  bool listening_ = false;
};

}

#endif
