find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_package(absl REQUIRED)
find_package(cereal REQUIRED)
find_package(fmt REQUIRED)

add_compile_options(-Wall -Wextra -Werror)
# GCC 12 reports false positives of these warnings in coroutine frames and
# std::string.
add_compile_options(-Wno-maybe-uninitialized -Wno-restrict
                    -Wno-dangling-pointer)
# Aggregate initializers list only the members that differ from their defaults.
add_compile_options(-Wno-missing-field-initializers)
if(EELGRASSPOST_SANITIZE)
  add_compile_options(-fsanitize=${EELGRASSPOST_SANITIZE}
                      -fno-omit-frame-pointer -fno-sanitize-recover=all
                      -Wno-mismatched-new-delete)
  add_link_options(-fsanitize=${EELGRASSPOST_SANITIZE})
endif()

# All modules have to compile Boost with the same definitions.
add_compile_definitions(BOOST_ASIO_NO_DEPRECATED BOOST_ERROR_CODE_HEADER_ONLY)

# Adds the static library eelgrasspost_<NAME> for the module in the current
# folder. Its public headers are in include/ and are installed.
#   SOURCES  source files
#   DEPS     libraries that the module's users link as well
function(eelgrasspost_module NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  set(target eelgrasspost_${NAME})
  add_library(${target} STATIC ${ARG_SOURCES})
  add_library(eelgrasspost::${NAME} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${NAME})
  target_include_directories(${target}
    PUBLIC
      $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
      $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(${target} PUBLIC ${ARG_DEPS})
  # Programs that embed the installed modules need the same definitions.
  target_compile_definitions(${target} INTERFACE
    $<INSTALL_INTERFACE:BOOST_ASIO_NO_DEPRECATED>
    $<INSTALL_INTERFACE:BOOST_ERROR_CODE_HEADER_ONLY>)
  install(TARGETS ${target} EXPORT eelgrasspostTargets
          ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
endfunction()

# Adds the Boost.Test program <NAME>_tests and registers it with CTest under
# <NAME>.
#   SOURCES        source files
#   DEPS           libraries to link
#   TIMEOUT        seconds, 120 by default
#   ISOLATED_CASE  a case that becomes the CTest test <NAME>_<case> of its own
function(eelgrasspost_test NAME)
  if(NOT EELGRASSPOST_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "TIMEOUT;ISOLATED_CASE" "SOURCES;DEPS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  find_package(Boost 1.81 REQUIRED COMPONENTS unit_test_framework)
  set(target ${NAME}_tests)
  add_executable(${target} ${ARG_SOURCES})
  target_compile_definitions(${target} PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(${target} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}
                             ${CMAKE_CURRENT_SOURCE_DIR}/..)
  target_link_libraries(${target} PRIVATE ${ARG_DEPS}
                        Boost::unit_test_framework)
  set(filter)
  if(ARG_ISOLATED_CASE)
    # A case that KNOWN-RED.txt lists becomes a CTest test of its own, so that
    # the other cases of its suite still decide the result.
    set(filter "--run_test=!${NAME}/${ARG_ISOLATED_CASE}")
    add_test(NAME ${NAME}_${ARG_ISOLATED_CASE}
             COMMAND ${target} --log_level=test_suite
                     --run_test=${NAME}/${ARG_ISOLATED_CASE})
    set_tests_properties(${NAME}_${ARG_ISOLATED_CASE} PROPERTIES TIMEOUT
                                                         ${ARG_TIMEOUT})
  endif()
  add_test(NAME ${NAME} COMMAND ${target} --log_level=test_suite --random=0
                                ${filter})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
