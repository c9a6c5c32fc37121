#ifndef review_Proxy_2_h
#define review_Proxy_2_h

#include "review/Http-2.h"

namespace vanillaworks::review {

/** How a proxy treats channels. */
enum class ProxyMode : std::uint8_t
{
  Pass,
  /** Requests pass; as an answer comes, the channel is reset instead. */
  ResetAtAnswer,
  /** Nothing passes, and nothing is closed. */
  Silent
};

/** Forwards TCP channels to a target. Thread safe. */
class Proxy
{
public:
  Proxy(const Address& aAddress, Address aTarget);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  bool IsListening() const { return listener_ >= 0; }
  void SetMode(ProxyMode aMode) { mode_ = aMode; }
  /** Resets all channels that are open now, on both sides. */
  void ResetAll() { ++resets_; }

private:
  void Accept();
  void Forward(int aClient);

  Address target_;
  int listener_;
  std::atomic<ProxyMode> mode_{ ProxyMode::Pass };
  std::atomic<int> resets_{ 0 };
  std::atomic<bool> isStopping_{ false };
  std::vector<std::thread> channels_;
  std::thread acceptor_;
};

}

#endif
