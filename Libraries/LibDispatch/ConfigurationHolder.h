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
 * The newest configuration that this process has seen, replaced as a whole
 * (read-copy-update). It never goes back to an older version.
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

  /** Thread safe. */
  Adoption Adopt(ConfigurationDocument aDocument);

private:
  // Accessed by the atomic free functions only: the thread sanitizer reports a
  // race inside std::atomic<std::shared_ptr> of this standard library.
  std::shared_ptr<const ConfigurationDocument> current_;
};

}

#endif
