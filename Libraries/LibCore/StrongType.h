#ifndef Libraries_LibCore_StrongType_h
#define Libraries_LibCore_StrongType_h

#include <compare>
#include <functional>
#include <utility>

namespace vanillaworks {

/**
 * Wraps T in a distinct type for each Tag, so that values of the same
 * representation can't be mixed up. Value semantics; as thread safe as T.
 */
template<typename T, typename Tag>
class StrongType
{
public:
  StrongType() = default;
  explicit StrongType(T aValue)
    : value_(std::move(aValue))
  {
  }

  const T& Value() const { return value_; }

  friend bool operator==(const StrongType&, const StrongType&) = default;
  friend auto operator<=>(const StrongType&, const StrongType&) = default;

  /** MessagePack hooks: the value is encoded like a plain T. */
  template<typename Packer>
  void msgpack_pack(Packer& aPacker) const
  {
    aPacker.pack(value_);
  }
  template<typename Object>
  void msgpack_unpack(Object aObject)
  {
    T value = aObject;
    value_ = std::move(value);
  }

private:
  T value_{};
};

}

template<typename T, typename Tag>
struct std::hash<vanillaworks::StrongType<T, Tag>>
{
  std::size_t operator()(const vanillaworks::StrongType<T, Tag>& aId) const
  {
    return std::hash<T>{}(aId.Value());
  }
};

#endif
