# Finds every library the packages use; each comes from a Debian package
# listed in `run`.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(CLI11 REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(ZLIB REQUIRED)
pkg_check_modules(curl REQUIRED IMPORTED_TARGET libcurl)
pkg_check_modules(yaml_cpp REQUIRED IMPORTED_TARGET yaml-cpp)
pkg_check_modules(log4cxx REQUIRED IMPORTED_TARGET liblog4cxx)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
if(BUILD_TESTING)
  pkg_check_modules(cppunit REQUIRED IMPORTED_TARGET cppunit)
  find_package(rapidcheck REQUIRED)
endif()

# RESTinio ships headers only; its parser and formatter are plain libraries.
add_library(restinio_library INTERFACE)
target_link_libraries(restinio_library INTERFACE http_parser fmt Threads::Threads)
install(TARGETS restinio_library EXPORT slatestall)
