# Installs the public headers and the export set of the packages.
install(DIRECTORY "${PROJECT_SOURCE_DIR}/include/slatestall"
        DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(DIRECTORY "${PROJECT_SOURCE_DIR}/generated/slatestall"
        DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(EXPORT slatestall NAMESPACE slatestall::
        FILE slatestall-targets.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/slatestall)
