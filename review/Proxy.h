#ifndef review_Proxy_h
#define review_Proxy_h

#include "review/Http.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace review {

/** Forwards TCP connections, and can lose track of those that are open. */
class Proxy
{
public:
  Proxy(Address aAddress, Address aTarget);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  bool Open();
  /**
   * The connections that are open now go silent for good, without a reset.
   * New ones work.
   */
  void SilenceOpenConnections();

private:
  struct Pair
  {
    int caller;
    int target;
    std::atomic<bool> isSilent{ false };
  };

  void Accept();
  void Forward(const std::shared_ptr<Pair>& aPair);

  Address address_;
  Address target_;
  int listener_ = -1;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Pair>> pairs_;
  std::atomic<bool> isClosing_{ false };
  std::atomic<int> threads_{ 0 };
};

}

#endif
