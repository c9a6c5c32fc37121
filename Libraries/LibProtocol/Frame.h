#ifndef Libraries_LibProtocol_Frame_h
#define Libraries_LibProtocol_Frame_h

#include "LibProtocol/Header.h"
#include "LibProtocol/Message.h"

namespace vanillaworks::protocol {

/** The unit of transmission on a link: a header and one message. */
struct Frame
{
  Header header;
  Message message;
};

}

#endif
