# hemlocknotch_library(NAME [DEPENDS target...]): static library hemlocknotch_NAME from src/*.cpp (main
# programs, named main_*.cpp, excepted), with public headers under include/.
function(hemlocknotch_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp src/*/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/main_[a-z_]*\\.cpp$")
  add_library(hemlocknotch_${name} STATIC ${sources})
  add_library(hemlocknotch::${name} ALIAS hemlocknotch_${name})
  set_target_properties(hemlocknotch_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(hemlocknotch_${name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
    PRIVATE src)
  target_link_libraries(hemlocknotch_${name} PUBLIC ${ARG_DEPENDS})
  target_compile_features(hemlocknotch_${name} PUBLIC cxx_std_20)
endfunction()

# hemlocknotch_program(NAME MAIN [DEPENDS target...]): program NAME from src/MAIN.cpp.
function(hemlocknotch_program name main)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_executable(${name} src/${main}.cpp)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  target_include_directories(${name} PRIVATE src)
endfunction()

# hemlocknotch_known_red(NAME RESULT): Boost.Test filters that leave out the cases which KNOWN-RED.txt lists for the
# test program NAME. An entry's first line is `test: NAME SUITE/CASE`.
function(hemlocknotch_known_red name result)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
  file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt entries REGEX "^test: ${name} ")
  set(filters)
  foreach(entry ${entries})
    string(REGEX REPLACE "^test: ${name} " "" case "${entry}")
    list(APPEND filters "--run_test=!${case}")
  endforeach()
  set(${result} ${filters} PARENT_SCOPE)
endfunction()

# hemlocknotch_tests(NAME [DIRECTORY directory] [DEPENDS target...]): one Boost.Test program from the files
# *_test.cpp in DIRECTORY, by default tests, known to ctest.
function(hemlocknotch_tests name)
  cmake_parse_arguments(ARG "" "DIRECTORY" "DEPENDS" ${ARGN})
  if(NOT ARG_DIRECTORY)
    set(ARG_DIRECTORY tests)
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${ARG_DIRECTORY}/*_test.cpp)
  if(NOT sources OR NOT HEMLOCKNOTCH_TESTS)
    return()
  endif()
  add_executable(${name}_test ${sources} ${CMAKE_SOURCE_DIR}/cmake/test_main.cpp)
  target_link_libraries(${name}_test PRIVATE ${ARG_DEPENDS} Boost::unit_test_framework)
  target_include_directories(${name}_test PRIVATE tests src)
  target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK
    HEMLOCKNOTCH_SOURCE_DIR="${CMAKE_SOURCE_DIR}" HEMLOCKNOTCH_BINARY_DIR="${CMAKE_BINARY_DIR}/bin")
  hemlocknotch_known_red(${name} filters)
  add_test(NAME ${name} COMMAND ${name}_test ${filters})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# hemlocknotch_benches([DEPENDS target...]): a program NAME_bench from each bench/NAME_bench.cpp and all other
# files there.
function(hemlocknotch_benches)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  if(NOT HEMLOCKNOTCH_TESTS)
    return()
  endif()
  file(GLOB sources CONFIGURE_DEPENDS bench/*_bench.cpp)
  file(GLOB shared_sources CONFIGURE_DEPENDS bench/*.cpp)
  list(FILTER shared_sources EXCLUDE REGEX "_bench\\.cpp$")
  foreach(source ${sources})
    get_filename_component(bench ${source} NAME_WE)
    add_executable(${bench} ${source} ${shared_sources})
    target_link_libraries(${bench} PRIVATE ${ARG_DEPENDS})
    target_include_directories(${bench} PRIVATE bench src)
  endforeach()
endfunction()
