#ifndef Libraries_LibProtocol_FrameError_h
#define Libraries_LibProtocol_FrameError_h

namespace vanillaworks::protocol {

enum class FrameError
{
  TooLarge,
  NotDecodable,
  UnknownType
};

}

#endif
