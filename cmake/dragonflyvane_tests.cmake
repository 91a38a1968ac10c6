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

# The random faults run as shards, so that they use all cores.
set(SeedsPerShard 250)
foreach(Shard RANGE 0 7)
  math(EXPR FirstSeed "${Shard} * ${SeedsPerShard} + 1")
  add_test(NAME ownership_seeds_${FirstSeed}
    COMMAND core_tests --test-case=random?faults*)
  set_tests_properties(ownership_seeds_${FirstSeed} PROPERTIES ENVIRONMENT
    "DRAGONFLYVANE_FIRST_SEED=${FirstSeed};DRAGONFLYVANE_SEEDS=${SeedsPerShard}")
endforeach()
set_tests_properties(core PROPERTIES ENVIRONMENT "DRAGONFLYVANE_SEEDS=10")
dragonflyvane_tests(net)
dragonflyvane_tests(node)
