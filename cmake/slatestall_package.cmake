# slatestall_package(NAME [USES package...] [LINK target...])
#
# Declares the library of one package from src/slatestall/NAME/*.cc, and its
# test program from the *_test.cc files beside them. Each *_fuzz.cc becomes a
# fuzz target of its own where SLATESTALL_FUZZ is on. A package without sources
# is header-only.
function(slatestall_package name)
  cmake_parse_arguments(ARG "" "" "USES;LINK" ${ARGN})
  set(source_dir "${PROJECT_SOURCE_DIR}/src/slatestall/${name}")
  file(GLOB sources CONFIGURE_DEPENDS "${source_dir}/*.cc")
  set(tests ${sources})
  set(fuzz_targets ${sources})
  list(FILTER sources EXCLUDE REGEX "_(test|fuzz)\\.cc$")
  list(FILTER fuzz_targets INCLUDE REGEX "_fuzz\\.cc$")
  list(FILTER tests INCLUDE REGEX "_test\\.cc$")
  list(TRANSFORM ARG_USES PREPEND "slatestall_")

  if(sources)
    add_library(slatestall_${name} STATIC ${sources})
    set(scope PUBLIC)
    target_include_directories(slatestall_${name} PRIVATE "${PROJECT_SOURCE_DIR}/src")
  else()
    add_library(slatestall_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(slatestall_${name} ${scope}
    "$<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>"
    "$<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/generated>"
    "$<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>")
  target_link_libraries(slatestall_${name} ${scope} ${ARG_USES} ${ARG_LINK})
  install(TARGETS slatestall_${name} EXPORT slatestall)

  if(SLATESTALL_FUZZ)
    slatestall_fuzz_targets(SOURCES ${fuzz_targets} USES slatestall_${name})
  endif()
  if(BUILD_TESTING AND tests)
    slatestall_test(${name} SOURCES ${tests} USES slatestall_${name})
  endif()
endfunction()

# slatestall_fuzz_targets(SOURCES file... USES target...)
function(slatestall_fuzz_targets)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES" ${ARGN})
  foreach(source ${ARG_SOURCES})
    get_filename_component(target "${source}" NAME_WE)
    add_executable(${target} "${source}")
    target_include_directories(${target} PRIVATE "${PROJECT_SOURCE_DIR}/src")
    target_link_libraries(${target} PRIVATE ${ARG_USES} -fsanitize=fuzzer)
    add_dependencies(fuzz_targets ${target})
  endforeach()
endfunction()

# slatestall_test(NAME SOURCES file... USES target...)
#
# A CppUnit program whose RapidCheck seed is fixed, so that the verdict is the
# same on every run. SLATESTALL_RC_PARAMS overrides it for longer searches.
set(SLATESTALL_RC_PARAMS "seed=20261202 max_success=300" CACHE STRING
    "RapidCheck parameters for the test programs")
function(slatestall_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES} "${PROJECT_SOURCE_DIR}/cmake/test_main.cc")
  target_include_directories(${name}_test PRIVATE "${PROJECT_SOURCE_DIR}/src")
  target_link_libraries(${name}_test PRIVATE ${ARG_USES} PkgConfig::cppunit rapidcheck)
  # Some tests read pages, examples and traces of the repository. Only they are
  # told where it is: compilers' caches share no object whose command line names
  # the checkout's folder.
  foreach(source ${ARG_SOURCES})
    file(STRINGS "${source}" told REGEX "SLATESTALL_SOURCE_DIR" LIMIT_COUNT 1)
    if(told)
      set_source_files_properties("${source}" PROPERTIES COMPILE_DEFINITIONS
        "SLATESTALL_SOURCE_DIR=\"${PROJECT_SOURCE_DIR}\"")
    endif()
  endforeach()
  add_test(NAME ${name}_test COMMAND ${name}_test)
  set_tests_properties(${name}_test PROPERTIES
    TIMEOUT 600 ENVIRONMENT
    "RC_PARAMS=${SLATESTALL_RC_PARAMS};SLATESTALL_KNOWN_RED=${PROJECT_SOURCE_DIR}/KNOWN-RED.txt;TSAN_OPTIONS=suppressions=${PROJECT_SOURCE_DIR}/cmake/tsan.supp")
endfunction()
