#ifndef Libraries_LibJob_Resources_h
#define Libraries_LibJob_Resources_h

#include <cstdint>

namespace vanillaworks::job {

/** Processors, memory and accelerators that a task needs or a worker has. */
struct Resources
{
  /** In thousandths of a core. */
  std::int64_t cpu = 0;
  /** In MB. */
  std::int64_t memory = 0;
  std::int64_t accelerators = 0;

  bool Fits(const Resources& aDemand) const
  {
    return aDemand.cpu <= cpu && aDemand.memory <= memory &&
           aDemand.accelerators <= accelerators;
  }
  Resources& operator+=(const Resources& aOther)
  {
    cpu += aOther.cpu;
    memory += aOther.memory;
    accelerators += aOther.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& aOther)
  {
    cpu -= aOther.cpu;
    memory -= aOther.memory;
    accelerators -= aOther.accelerators;
    return *this;
  }
  friend bool operator==(const Resources&, const Resources&) = default;
};

}

#endif
