#ifndef Libraries_LibDispatch_ConfigurationHolder_h
#define Libraries_LibDispatch_ConfigurationHolder_h

#include "LibDispatch/ConfigurationDocument.h"

#include <atomic>
#include <memory>

namespace vanillaworks::dispatch {

enum class Adoption
{
  Adopted,
  NotNewer
};

/**
 * The newest configuration that this process has seen, replaced as a whole
 * (read-copy-update). It never goes back to an older version.
 */
class ConfigurationHolder
{
public:
  ConfigurationHolder();

  /** Thread safe; lock free for readers. */
  std::shared_ptr<const ConfigurationDocument> Current() const
  {
    return current_.load(std::memory_order_acquire);
  }

  /** Thread safe. */
  Adoption Adopt(ConfigurationDocument aDocument);

private:
  std::atomic<std::shared_ptr<const ConfigurationDocument>> current_;
};

}

#endif
