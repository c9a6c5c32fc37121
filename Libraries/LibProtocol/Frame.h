#ifndef Libraries_LibProtocol_Frame_h
#define Libraries_LibProtocol_Frame_h

#include "LibProtocol/Header.h"
#include "LibProtocol/Message.h"

namespace vanillaworks::protocol {

/** What one process sends another at a time. */
struct Frame
{
  Header header;
  Message message;
};

}

#endif
