// Results: a value or a typed error, as std::variant. Each layer has its own error type and turns those from below.
#pragma once

#include <utility>
#include <variant>

namespace hickoryquay {

// Overloaded{[](const A&) {...}, [](const B&) {...}} for std::visit.
template <typename... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

template <typename T, typename Error>
using Result = std::variant<T, Error>;

struct Done {};  // The value of a result that carries none.

template <typename T, typename E>
bool Ok(const std::variant<T, E>& result) {
  return result.index() == 0;
}

// The value of a result that is known to be one.
template <typename T, typename E>
const T& ValueOf(const std::variant<T, E>& result) {
  return std::get<0>(result);
}
template <typename T, typename E>
T TakeValue(std::variant<T, E>&& result) {
  return std::get<0>(std::move(result));
}

// The error of a result that is known to be one.
template <typename T, typename E>
const E& ErrorOf(const std::variant<T, E>& result) {
  return std::get<1>(result);
}

}  // namespace hickoryquay
