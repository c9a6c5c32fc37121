#ifndef Libraries_LibCore_Result_h
#define Libraries_LibCore_Result_h

#include <utility>
#include <variant>

namespace vanillaworks {

/** Marks an error, since T and E of a Result may be the same type. */
template<typename E>
struct Failure
{
  E error;
};

template<typename E>
Failure(E) -> Failure<E>;

/** The empty value of an operation that returns nothing on success. */
using Success = std::monostate;

/**
 * Either a value or a typed error. Not thread safe; a Result belongs to one
 * thread at a time.
 */
template<typename T, typename E>
class [[nodiscard]] Result
{
public:
  Result(T aValue)
    : alternatives_(std::in_place_index<0>, std::move(aValue))
  {
  }
  Result(Failure<E> aFailure)
    : alternatives_(std::in_place_index<1>, std::move(aFailure.error))
  {
  }

  bool IsError() const { return alternatives_.index() == 1; }

  /** Precondition: !IsError(). */
  T& Value() { return std::get<0>(alternatives_); }
  const T& Value() const { return std::get<0>(alternatives_); }
  /** Moves the value out. Precondition: !IsError(). */
  T ReleaseValue() { return std::move(std::get<0>(alternatives_)); }

  /** Precondition: IsError(). */
  const E& Error() const { return std::get<1>(alternatives_); }

private:
  std::variant<T, E> alternatives_;
};

}

/** Evaluates to the value, or returns the error from the current function. */
#define VW_TRY(expression)                                                     \
  ({                                                                           \
    auto&& tryResult = (expression);                                           \
    if (tryResult.IsError()) {                                                 \
      return ::vanillaworks::Failure{ tryResult.Error() };                     \
    }                                                                          \
    tryResult.ReleaseValue();                                                  \
  })

#endif
