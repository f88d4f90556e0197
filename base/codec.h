#ifndef GODWITPADDLE_BASE_CODEC_H_
#define GODWITPADDLE_BASE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace godwitpaddle {

/// Thrown for bytes that do not decode into the requested type.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Encodes a value with msgpack. Structs need MSGPACK_DEFINE; a variant becomes [index, value].
template <typename T>
std::string Encode(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return std::string(buffer.data(), buffer.size());
}

/// Decodes a value that Encode wrote. Throws DecodeError.
template <typename T>
T Decode(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    return handle.get().as<T>();
  } catch (const std::exception& error) {
    throw DecodeError(std::string("malformed message: ") + error.what());
  }
}

}  // namespace godwitpaddle

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename... Ts>
  struct pack<std::variant<Ts...>> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out, const std::variant<Ts...>& value) const {
      out.pack_array(2);
      out.pack(static_cast<std::uint32_t>(value.index()));
      std::visit([&out](const auto& alternative) { out.pack(alternative); }, value);
      return out;
    }
  };

  template <typename... Ts>
  struct convert<std::variant<Ts...>> {
    const msgpack::object& operator()(const msgpack::object& in, std::variant<Ts...>& value) const {
      if (in.type != type::ARRAY || in.via.array.size != 2) throw type_error();
      const auto index = in.via.array.ptr[0].as<std::uint32_t>();
      if (index >= sizeof...(Ts)) throw type_error();
      Read<0>(index, in.via.array.ptr[1], value);
      return in;
    }

   private:
    template <std::size_t I>
    static void Read(std::uint32_t index, const msgpack::object& in, std::variant<Ts...>& value) {
      if constexpr (I < sizeof...(Ts)) {
        if (index == I) {
          value.template emplace<I>(in.as<std::variant_alternative_t<I, std::variant<Ts...>>>());
        } else {
          Read<I + 1>(index, in, value);
        }
      }
    }
  };

  }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack

#endif  // GODWITPADDLE_BASE_CODEC_H_
