#ifndef Libraries_LibDispatch_ConfigurationHolder_h
#define Libraries_LibDispatch_ConfigurationHolder_h

#include "LibDispatch/ConfigurationDocument.h"

#include <memory>

namespace vanillaworks::dispatch {

enum class Adoption
{
  Adopted,
  NotNewer
};

/**
 * The newest configuration that this process has received. It is replaced as
 * a whole (read-copy-update) and never reverts to an older version.
 */
class ConfigurationHolder
{
public:
  ConfigurationHolder();

  /** Thread safe. */
  std::shared_ptr<const ConfigurationDocument> Current() const
  {
    return std::atomic_load(&current_);
  }

  /** Replaces the current document if aDocument is newer. Thread safe. */
  Adoption Adopt(ConfigurationDocument aDocument);

private:
  // Must only be accessed through the atomic free functions, because
  // ThreadSanitizer reports a race inside this standard library's
  // std::atomic<std::shared_ptr>.
  std::shared_ptr<const ConfigurationDocument> current_;
};

}

#endif
