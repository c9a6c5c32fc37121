#include "LibProtocol/FrameCodec.h"

#include <array>

namespace vanillaworks::protocol {

namespace {
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kFrameElements = 3;
constexpr unsigned kBitsPerByte = 8;

class StringWriter
{
public:
  explicit StringWriter(std::string& aOutput)
    : output_(aOutput)
  {
  }
  void write(const char* aData, std::size_t aSize)
  {
    output_.append(aData, aSize);
  }

private:
  std::string& output_;
};

using Decoder = Message (*)(const msgpack::object&);

template<typename T>
Message
DecodeAs(const msgpack::object& aObject)
{
  return aObject.as<T>();
}

template<typename... Ts>
constexpr std::array<Decoder, sizeof...(Ts)>
DecodersOf(const std::variant<Ts...>*)
{
  return { &DecodeAs<Ts>... };
}

constexpr auto kDecoders = DecodersOf(static_cast<const Message*>(nullptr));

Result<Frame, FrameError>
Decode(std::string_view aBytes)
{
  // The limits keep a corrupt length field from causing a huge allocation.
  const msgpack::unpack_limit limit(kMaxFrameBytes,
                                    kMaxFrameBytes,
                                    kMaxFrameBytes,
                                    kMaxFrameBytes,
                                    kMaxFrameBytes,
                                    /* depth */ 16);
  try {
    auto handle =
      msgpack::unpack(aBytes.data(), aBytes.size(), nullptr, nullptr, limit);
    const auto& object = handle.get();
    if (object.type != msgpack::type::ARRAY ||
        object.via.array.size != kFrameElements) {
      return Failure{ FrameError::NotDecodable };
    }
    const auto* elements = object.via.array.ptr;
    auto type = elements[0].as<std::uint32_t>();
    if (type >= kDecoders.size()) {
      return Failure{ FrameError::UnknownType };
    }
    return Frame{ elements[1].as<Header>(), kDecoders[type](elements[2]) };
  } catch (const std::exception&) {
    return Failure{ FrameError::NotDecodable };
  }
}

std::size_t
ReadLength(std::string_view aBytes)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << kBitsPerByte) | static_cast<unsigned char>(aBytes[i]);
  }
  return length;
}
}

void
AppendFrame(const Frame& aFrame, std::string& aOutput)
{
  auto start = aOutput.size();
  aOutput.append(kLengthBytes, '\0');
  StringWriter writer(aOutput);
  msgpack::packer<StringWriter> packer(writer);
  packer.pack_array(kFrameElements);
  packer.pack(static_cast<std::uint32_t>(aFrame.message.index()));
  packer.pack(aFrame.header);
  std::visit([&packer](const auto& aBody) { packer.pack(aBody); },
             aFrame.message);
  auto length = aOutput.size() - start - kLengthBytes;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    auto shift = kBitsPerByte * (kLengthBytes - 1 - i);
    aOutput[start + i] = static_cast<char>(length >> shift);
  }
}

Result<std::optional<Frame>, FrameError>
FrameDecoder::Next()
{
  std::string_view unread(buffer_);
  unread.remove_prefix(consumed_);
  if (unread.size() < kLengthBytes) {
    return std::optional<Frame>();
  }
  auto length = ReadLength(unread);
  if (length > kMaxFrameBytes) {
    return Failure{ FrameError::TooLarge };
  }
  if (unread.size() < kLengthBytes + length) {
    // Consumed bytes are erased only here, so that a buffer of many complete
    // frames is not moved once per frame.
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    return std::optional<Frame>();
  }
  auto frame = VW_TRY(Decode(unread.substr(kLengthBytes, length)));
  consumed_ += kLengthBytes + length;
  if (consumed_ == buffer_.size()) {
    buffer_.clear();
    consumed_ = 0;
  }
  return std::optional<Frame>(std::move(frame));
}

}
