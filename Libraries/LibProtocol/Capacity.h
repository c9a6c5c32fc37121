#ifndef Libraries_LibProtocol_Capacity_h
#define Libraries_LibProtocol_Capacity_h

#include <cstdint>
#include <msgpack.hpp>

namespace vanillaworks::protocol {

/** Resources of an upstream, or resources that a task declares it needs. */
struct Capacity
{
  std::uint32_t cores = 0;
  std::uint32_t memoryMegabytes = 0;
  std::uint32_t accelerators = 0;

  /** Whether aDemand is within this capacity. Thread safe. */
  bool Fits(const Capacity& aDemand) const
  {
    return aDemand.cores <= cores &&
           aDemand.memoryMegabytes <= memoryMegabytes &&
           aDemand.accelerators <= accelerators;
  }

  friend bool operator==(const Capacity&, const Capacity&) = default;

  MSGPACK_DEFINE_ARRAY(cores, memoryMegabytes, accelerators)
};

}

#endif
