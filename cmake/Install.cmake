# Installs the decision library as a CMake package: find_package(daisystream) gives daisystream::daisystream.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

install(TARGETS daisystream EXPORT daisystreamTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY daisystream DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} FILES_MATCHING PATTERN "*.h")
install(TARGETS daisystreamd daisystream_cli RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(EXPORT daisystreamTargets NAMESPACE daisystream:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/daisystream)
configure_package_config_file(cmake/daisystreamConfig.cmake.in ${CMAKE_CURRENT_BINARY_DIR}/daisystreamConfig.cmake
                              INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/daisystream)
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/daisystreamConfigVersion.cmake
                                 COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/daisystreamConfig.cmake
              ${CMAKE_CURRENT_BINARY_DIR}/daisystreamConfigVersion.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/daisystream)
