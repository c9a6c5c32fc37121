#ifndef Libraries_LibProtocol_FrameCodec_h
#define Libraries_LibProtocol_FrameCodec_h

#include "LibCore/Result.h"
#include "LibProtocol/Frame.h"
#include "LibProtocol/FrameError.h"

#include <optional>
#include <string>
#include <string_view>

namespace vanillaworks::protocol {

/** Fits a whole job with its payloads; larger frames are rejected. */
constexpr std::size_t kMaxFrameBytes = 8U * 1024U * 1024U;

/**
 * Appends an encoded frame: a four-byte big-endian length, then a MessagePack
 * array of type number, header and body. Thread safe.
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

  /** The next complete frame, std::nullopt if it is incomplete, or an error. */
  Result<std::optional<Frame>, FrameError> Next();

private:
  std::string buffer_;
  std::size_t consumed_ = 0;
};

}

#endif
