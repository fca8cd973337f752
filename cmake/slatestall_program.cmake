# slatestall_program(NAME [INSTALL] [USES package...] [LINK target...])
#
# A program from programs/NAME and the folders in it, installed only on
# request. Files called *_test.cc make the test program NAME_program_test,
# which is built with all sources but main.cc.
function(slatestall_program name)
  cmake_parse_arguments(ARG "INSTALL" "" "USES;LINK" ${ARGN})
  set(source_dir "${PROJECT_SOURCE_DIR}/programs/${name}")
  file(GLOB sources CONFIGURE_DEPENDS "${source_dir}/*.cc" "${source_dir}/*/*.cc")
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
  list(FILTER tests INCLUDE REGEX "_test\\.cc$")
  list(TRANSFORM ARG_USES PREPEND "slatestall_")
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE "${PROJECT_SOURCE_DIR}/programs")
  target_compile_definitions(${name} PRIVATE SLATESTALL_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE ${ARG_USES} ${ARG_LINK})
  if(BUILD_TESTING AND tests)
    list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
    slatestall_test(${name}_program SOURCES ${tests} ${sources}
                    USES ${ARG_USES} ${ARG_LINK})
    target_include_directories(${name}_program_test PRIVATE "${PROJECT_SOURCE_DIR}/programs")
  endif()
  if(ARG_INSTALL)
    install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endfunction()
