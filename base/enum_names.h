#ifndef GODWITPADDLE_BASE_ENUM_NAMES_H_
#define GODWITPADDLE_BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace godwitpaddle {

/// Names of the values of an enumeration, indexed by value. The values must be 0, 1, 2 and so on.
template <std::size_t N>
using EnumNames = std::array<std::string_view, N>;

/// Returns the name of `value`, or "unknown" when the value is outside the table.
template <typename Enum, std::size_t N>
constexpr std::string_view NameOf(const EnumNames<N>& names, Enum value) {
  const auto index = static_cast<std::size_t>(value);
  return index < N ? names[index] : std::string_view("unknown");
}

/// Returns the value that has `name`, or nothing.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> ValueOf(const EnumNames<N>& names, std::string_view name) {
  for (std::size_t i = 0; i < N; ++i) {
    if (names[i] == name) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_BASE_ENUM_NAMES_H_
