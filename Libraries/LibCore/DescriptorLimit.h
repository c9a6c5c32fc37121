#ifndef Libraries_LibCore_DescriptorLimit_h
#define Libraries_LibCore_DescriptorLimit_h

#include <cstddef>
#include <sys/resource.h>

namespace vanillaworks {

/**
 * How many descriptors this process may have open now; the limit may change
 * while it runs. Thread safe.
 */
inline std::size_t
DescriptorLimit()
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

}

#endif
