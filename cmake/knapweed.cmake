# Build rules of the project.
#
#   kwr_library(NAME SOURCES a.cc DEPS other_library TESTS a_test.cc
#               TEST_DEPS rapidcheck)
#
# makes the library kwr_NAME and, with TESTS, one Criterion program NAME_test
# that ctest runs. DEPS name the direct dependencies, ours without the prefix.

set(KWR_WARNINGS -Wall -Wextra -Wpedantic -Wnon-virtual-dtor
                 -Wno-missing-field-initializers)
if(NOT KWR_DEPLOY)
  # A newer compiler's new warning must not stop an installation.
  list(APPEND KWR_WARNINGS -Werror)
endif()
if(KWR_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=undefined)
  add_link_options(-fsanitize=address,undefined)
endif()

function(kwr_deps target scope)
  foreach(dep ${ARGN})
    if(TARGET kwr_${dep})
      target_link_libraries(${target} ${scope} kwr_${dep})
    else()
      target_link_libraries(${target} ${scope} ${dep})
    endif()
  endforeach()
endfunction()

function(kwr_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;TESTS;TEST_DEPS" ${ARGN})
  if(ARG_SOURCES)
    add_library(kwr_${name} STATIC ${ARG_SOURCES})
    target_compile_options(kwr_${name} PRIVATE ${KWR_WARNINGS})
    kwr_deps(kwr_${name} PUBLIC ${ARG_DEPS})
  else()
    add_library(kwr_${name} INTERFACE)
    kwr_deps(kwr_${name} INTERFACE ${ARG_DEPS})
  endif()
  if(ARG_TESTS)
    add_executable(${name}_test ${ARG_TESTS})
    target_compile_options(${name}_test PRIVATE ${KWR_WARNINGS})
    kwr_deps(${name}_test PRIVATE ${name} ${ARG_TEST_DEPS} criterion)
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
