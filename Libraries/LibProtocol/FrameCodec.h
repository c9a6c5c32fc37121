#ifndef Libraries_LibProtocol_FrameCodec_h
#define Libraries_LibProtocol_FrameCodec_h

#include "LibCore/Result.h"
#include "LibProtocol/Frame.h"
#include "LibProtocol/FrameError.h"

#include <optional>
#include <string>
#include <string_view>

namespace vanillaworks::protocol {

/** A whole job with its payloads fits; anything above is refused. */
constexpr std::size_t kMaxFrameBytes = 8U * 1024U * 1024U;

/**
 * Appends a frame: four bytes of length, most significant first, then a
 * MessagePack array of type number, header and body. Thread safe.
 */
void
AppendFrame(const Frame& aFrame, std::string& aOutput);

/**
 * Splits a byte stream into frames. After an error the stream is unusable and
 * its connection must be closed. Not thread safe.
 */
class FrameDecoder
{
public:
  void Append(std::string_view aBytes) { buffer_.append(aBytes); }

  /** The next whole frame, nothing while it is incomplete, or an error. */
  Result<std::optional<Frame>, FrameError> Next();

private:
  std::string buffer_;
  std::size_t consumed_ = 0;
};

}

#endif
