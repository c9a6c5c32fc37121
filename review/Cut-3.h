#ifndef review_Cut_3_h
#define review_Cut_3_h

#include <atomic>
#include <string>

namespace review {

/**
 * Forwards TCP connections to a target. While it is cut, it passes on neither
 * bytes nor ends of connections, and new connections hang; afterwards it passes
 * on what both sides still wait for. It lasts as long as the process. Thread
 * safe.
 */
class Cut3
{
public:
  Cut3(const std::string& aAddress, std::string aTarget);
  bool IsListening() const { return listener_ >= 0; }

  void SetCut(bool aIsCut) { isCut_ = aIsCut; }

private:
  void Accept();
  void Forward(int aClient);
  void WaitWhileCut() const;

  std::string target_;
  std::atomic<bool> isCut_ = false;
  int listener_;
};

}

#endif
