#include "LibDispatch/ConfigurationHolder.h"

namespace vanillaworks::dispatch {

ConfigurationHolder::ConfigurationHolder()
{
  // Version 0 applies until an operator has changed the configuration.
  ConfigurationDocument initial;
  initial.text = "{}";
  current_ = std::make_shared<const ConfigurationDocument>(std::move(initial));
}

Adoption
ConfigurationHolder::Adopt(ConfigurationDocument aDocument)
{
  auto next =
    std::make_shared<const ConfigurationDocument>(std::move(aDocument));
  auto current = Current();
  while (next->version > current->version) {
    if (std::atomic_compare_exchange_weak(&current_, &current, next)) {
      return Adoption::Adopted;
    }
  }
  return Adoption::NotNewer;
}

}
