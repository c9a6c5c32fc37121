#ifndef Libraries_LibDispatch_EntryIdentity_h
#define Libraries_LibDispatch_EntryIdentity_h

#include "LibCore/Ids.h"

namespace vanillaworks::dispatch {

/** One incarnation of one entry. */
struct EntryIdentity
{
  EntryId entry;
  Incarnation incarnation;

  friend bool operator==(const EntryIdentity&, const EntryIdentity&) = default;
  friend auto operator<=>(const EntryIdentity&, const EntryIdentity&) = default;
};

}

#endif
