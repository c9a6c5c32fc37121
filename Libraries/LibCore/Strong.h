#ifndef Libraries_LibCore_Strong_h
#define Libraries_LibCore_Strong_h

#include <compare>
#include <functional>
#include <utility>

namespace vanillaworks {

/**
 * A value of type T that can't be mistaken for another of the same
 * representation. Value semantics; as thread safe as T.
 */
template<typename T, typename Tag>
class Strong
{
public:
  Strong() = default;
  explicit Strong(T aValue)
    : value_(std::move(aValue))
  {
  }

  const T& Value() const { return value_; }

  friend bool operator==(const Strong&, const Strong&) = default;
  friend auto operator<=>(const Strong&, const Strong&) = default;

  /** The codec's hooks: a strong value travels as its representation. */
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
struct std::hash<vanillaworks::Strong<T, Tag>>
{
  std::size_t operator()(const vanillaworks::Strong<T, Tag>& aId) const
  {
    return std::hash<T>{}(aId.Value());
  }
};

#endif
