#ifndef GODWITPADDLE_RUNTIME_HTTP_PLATFORM_H_
#define GODWITPADDLE_RUNTIME_HTTP_PLATFORM_H_

namespace godwitpaddle {

/// Does nothing; a call to it keeps the linker from dropping the platform adapter "http", which
/// registers itself at static initialisation.
void LinkHttpPlatform();

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_HTTP_PLATFORM_H_
