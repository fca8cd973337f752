# Warnings, language level and the sanitizer switch, the same for all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")

set(SLATESTALL_SANITIZE "" CACHE STRING "Value for -fsanitize, or empty")

add_compile_options(-Wall -Wextra -Wpedantic -Werror)
add_compile_definitions(ASIO_STANDALONE)
if(SLATESTALL_SANITIZE)
  add_compile_options(-fsanitize=${SLATESTALL_SANITIZE} -fno-omit-frame-pointer
                      -fno-sanitize-recover=all)
  add_link_options(-fsanitize=${SLATESTALL_SANITIZE})
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()
