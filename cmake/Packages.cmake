# Adds every folder below `parent` that has a CMakeLists.txt of its own.
function(rhubarbcrank_add_subdirectories parent)
  file(GLOB lists CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${parent}/*/CMakeLists.txt)
  foreach(it IN LISTS lists)
    get_filename_component(folder ${it} DIRECTORY)
    add_subdirectory(${folder})
  endforeach()
endfunction()

function(rhubarbcrank_set_warnings target)
  # GCC 12 warns of overlaps within std::string that can't happen (GCC bug 105329), hence -Wno-restrict.
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror -Wno-restrict)
endfunction()

# A package: one static library whose public headers are included as "package/file.h".
#   rhubarbcrank_add_package(NAME [SOURCES ...] [DEPENDS ...])
function(rhubarbcrank_add_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs)
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
  rhubarbcrank_set_warnings(${name})
endfunction()

# A program; NAME is also the file name below build/bin.
function(rhubarbcrank_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  rhubarbcrank_set_warnings(${name})
endfunction()

# A CppUTest runner tst_NAME, run by ctest under the package's name.
function(rhubarbcrank_add_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_executable(tst_${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/tests/auto/main.cpp)
  target_link_libraries(tst_${name} PRIVATE ${ARG_DEPENDS} PkgConfig::cpputest)
  target_compile_definitions(tst_${name} PRIVATE
    CPPUTEST_MEM_LEAK_DETECTION_DISABLED
    RHUBARBCRANK_SHARE="${PROJECT_SOURCE_DIR}/share/rhubarbcrank"
    RHUBARBCRANK_BIN="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
  rhubarbcrank_set_warnings(tst_${name})
  add_test(NAME ${name} COMMAND tst_${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
