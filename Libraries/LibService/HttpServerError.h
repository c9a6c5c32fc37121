#ifndef Libraries_LibService_HttpServerError_h
#define Libraries_LibService_HttpServerError_h

#include <cstdint>

namespace vanillaworks::service {

enum class HttpServerError : std::uint8_t
{
  BadAddress,
  CannotBind
};

}

#endif
