# Functions that declare the packages of the workspace and their tests.
if(NOT POLLENRUDDER_PLATFORM_ONLY)
  find_package(Catch2 2 REQUIRED)
  include(Catch)

  # The Catch2 main function takes seconds to compile, so it is built once.
  file(WRITE ${CMAKE_BINARY_DIR}/catch_main.cc
       "#define CATCH_CONFIG_MAIN\n#include <catch2/catch.hpp>\n")
  add_library(catch_main STATIC ${CMAKE_BINARY_DIR}/catch_main.cc)
endif()

# pollenrudder_package(NAME name SOURCES ... DEPENDS ... [LIBRARIES ...])
# Declares the static library pollenrudder_<name> with its sources.
function(pollenrudder_package)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  add_library(pollenrudder_${ARG_NAME} STATIC ${ARG_SOURCES})
  target_include_directories(pollenrudder_${ARG_NAME}
                             PUBLIC ${PROJECT_SOURCE_DIR}/packages)
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(pollenrudder_${ARG_NAME}
                          PUBLIC pollenrudder_${dependency})
  endforeach()
  target_link_libraries(pollenrudder_${ARG_NAME} PUBLIC ${ARG_LIBRARIES}
                                                        Threads::Threads)
endfunction()

# pollenrudder_test(NAME name SOURCES ... DEPENDS ... [LIBRARIES ...] [SERIAL])
# Declares a Catch2 test program; every test case becomes a CTest test.
function(pollenrudder_test)
  if(POLLENRUDDER_PLATFORM_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "SERIAL" "NAME" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  add_executable(${ARG_NAME}_test ${ARG_SOURCES})
  target_link_libraries(${ARG_NAME}_test PRIVATE catch_main ${ARG_LIBRARIES})
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(${ARG_NAME}_test PRIVATE pollenrudder_${dependency})
  endforeach()
  set(properties TIMEOUT 300)
  if(ARG_SERIAL)
    list(APPEND properties RUN_SERIAL TRUE)
  endif()
  catch_discover_tests(${ARG_NAME}_test TEST_PREFIX "${ARG_NAME}: "
                       PROPERTIES ${properties})
endfunction()
