#ifndef Tests_System_LoopbackSubnet_h
#define Tests_System_LoopbackSubnet_h

#include <cstddef>
#include <string>

namespace vanillaworks::system {

/**
 * A part of the loopback range that no other deployment on this machine uses
 * while this object exists. Not thread safe.
 */
class LoopbackSubnet
{
public:
  /** Ends the process if all subnets are in use. */
  LoopbackSubnet();
  ~LoopbackSubnet();
  LoopbackSubnet(const LoopbackSubnet&) = delete;
  LoopbackSubnet& operator=(const LoopbackSubnet&) = delete;

  /** aNumber: 1 to 253. */
  std::string Host(std::size_t aNumber) const;

private:
  bool Claim(std::size_t aSubnet);

  std::size_t subnet_ = 0;
  /** Listens for as long as the subnet is claimed. */
  int socket_ = -1;
};

}

#endif
