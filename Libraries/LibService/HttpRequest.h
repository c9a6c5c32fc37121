#ifndef Libraries_LibService_HttpRequest_h
#define Libraries_LibService_HttpRequest_h

#include <cstdint>
#include <string>

namespace vanillaworks::service {

enum class HttpMethod : std::uint8_t
{
  Get,
  Post,
  Put,
  Delete,
  Other
};

struct HttpRequest
{
  HttpMethod method = HttpMethod::Other;
  /** The path without the query string. */
  std::string path;
  std::string body;
};

}

#endif
