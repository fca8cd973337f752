# Warnings, language level and the sanitizer switch, the same for all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")

set(SLATESTALL_SANITIZE "" CACHE STRING "Value for -fsanitize, or empty")

add_compile_options(-Wall -Wextra -Wpedantic)
# Errors in the presets of developers and CI only: another compiler's new
# warning must not keep a user from building a release.
option(SLATESTALL_WARNINGS_ARE_ERRORS "Fail the build on warnings" OFF)
if(SLATESTALL_WARNINGS_ARE_ERRORS)
  add_compile_options(-Werror)
endif()
# Asio picks its allocator by a macro of whatever standard header came before
# it. Fixed here, or two sources would allocate and free in different ways.
add_compile_definitions(ASIO_STANDALONE ASIO_HAS_STD_ALIGNED_ALLOC=1)
if(SLATESTALL_SANITIZE)
  add_compile_options(-fsanitize=${SLATESTALL_SANITIZE} -fno-omit-frame-pointer
                      -fno-sanitize-recover=all)
  add_link_options(-fsanitize=${SLATESTALL_SANITIZE})
  if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    # GCC 12 loses track of Boost.Histogram's variants under a sanitizer and
    # reports them as maybe uninitialized; the release build keeps the warning.
    add_compile_options(-Wno-maybe-uninitialized)
  endif()
  if(SLATESTALL_SANITIZE MATCHES "thread")
    # Asio's handlers hold standalone fences, which ThreadSanitizer does not
    # model; the mutexes around its queues it does.
    add_compile_options(-Wno-tsan)
  endif()
endif()

option(SLATESTALL_FUZZ "Build the fuzz targets; needs Clang" OFF)
if(SLATESTALL_FUZZ)
  # The libraries are instrumented too, or the search would be blind.
  add_compile_options(-fsanitize=fuzzer-no-link)
  add_custom_target(fuzz_targets)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()
