# One doctest program for each layer; a test file stands beside its source.
enable_testing()
function(dragonflyvane_tests Layer)
  file(GLOB Tests CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/src/dragonflyvane/${Layer}/*_test.cpp)
  if(NOT Tests)
    return()
  endif()
  file(GLOB Support CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/*.cpp)
  add_executable(${Layer}_tests ${Tests} ${Support})
  target_include_directories(${Layer}_tests PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${Layer}_tests PRIVATE dragonflyvane_${Layer})
  target_compile_definitions(${Layer}_tests PRIVATE
    GOLDEN_DIRECTORY="${PROJECT_SOURCE_DIR}/tests/golden")
  add_test(NAME ${Layer} COMMAND ${Layer}_tests)
endfunction()

dragonflyvane_tests(core)
dragonflyvane_tests(net)
dragonflyvane_tests(node)
