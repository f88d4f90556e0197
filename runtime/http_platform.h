#ifndef GODWITPADDLE_RUNTIME_HTTP_PLATFORM_H_
#define GODWITPADDLE_RUNTIME_HTTP_PLATFORM_H_

namespace godwitpaddle {

/// Keeps the linker from dropping the platform adapter "http", which registers itself.
void LinkHttpPlatform();

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_HTTP_PLATFORM_H_
