# Installs the CMake package: find_package(eelgrasspost) provides the modules as
# the targets eelgrasspost::<name>.
include(CMakePackageConfigHelpers)

set(package_folder ${CMAKE_INSTALL_LIBDIR}/cmake/eelgrasspost)
configure_package_config_file(
  ${CMAKE_CURRENT_LIST_DIR}/eelgrasspostConfig.cmake.in
  ${CMAKE_BINARY_DIR}/eelgrasspostConfig.cmake
  INSTALL_DESTINATION ${package_folder})
write_basic_package_version_file(
  ${CMAKE_BINARY_DIR}/eelgrasspostConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(EXPORT eelgrasspostTargets
        NAMESPACE eelgrasspost:: DESTINATION ${package_folder})
install(FILES
          ${CMAKE_BINARY_DIR}/eelgrasspostConfig.cmake
          ${CMAKE_BINARY_DIR}/eelgrasspostConfigVersion.cmake
        DESTINATION ${package_folder})
