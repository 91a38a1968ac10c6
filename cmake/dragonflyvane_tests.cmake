# A doctest program for each library, from the *_test.cpp files beside its sources.
enable_testing()
file(GLOB Support CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/*.cpp)
add_library(dragonflyvane_test_support STATIC ${Support})
target_include_directories(dragonflyvane_test_support PUBLIC ${PROJECT_SOURCE_DIR}/tests)
target_link_libraries(dragonflyvane_test_support PUBLIC dragonflyvane_platform)
function(dragonflyvane_tests Layer Folder)
  file(GLOB_RECURSE Tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${Folder}/*_test.cpp)
  if(NOT Tests)
    return()
  endif()
  add_executable(${Layer}_tests ${Tests} ${PROJECT_SOURCE_DIR}/tests/main.cc)
  target_link_libraries(${Layer}_tests PRIVATE dragonflyvane_test_support)
  add_test(NAME ${Layer} COMMAND ${Layer}_tests)
endfunction()

dragonflyvane_tests(core src/dragonflyvane/core)
dragonflyvane_tests(net src/dragonflyvane/net)
dragonflyvane_tests(node src/dragonflyvane/node)
dragonflyvane_tests(platform platform)
target_compile_definitions(platform_tests PRIVATE
  EXAMPLE_CONFIGURATION="${PROJECT_SOURCE_DIR}/examples/lakeshore/config.json")

# The simulations with random faults are split by seed into several tests, so that
# they run on all cores.
set(SeedsPerShard 250)
foreach(Shard RANGE 0 7)
  math(EXPR FirstSeed "${Shard} * ${SeedsPerShard} + 1")
  add_test(NAME ownership_seeds_${FirstSeed}
    COMMAND node_tests "--test-case=random?faults?never*")
  set_tests_properties(ownership_seeds_${FirstSeed} PROPERTIES ENVIRONMENT
    "DRAGONFLYVANE_FIRST_SEED=${FirstSeed};DRAGONFLYVANE_SEEDS=${SeedsPerShard}")
endforeach()
# The same with servers that are granted keys by call.
foreach(Shard RANGE 0 1)
  math(EXPR FirstSeed "${Shard} * ${SeedsPerShard} + 1")
  add_test(NAME ownership_call_seeds_${FirstSeed}
    COMMAND node_tests "--test-case=random?faults?of?calls*")
  set_tests_properties(ownership_call_seeds_${FirstSeed} PROPERTIES ENVIRONMENT
    "DRAGONFLYVANE_FIRST_SEED=${FirstSeed};DRAGONFLYVANE_SEEDS=${SeedsPerShard}")
endforeach()
# The same with a store that also comes back from older copies.
foreach(Shard RANGE 0 1)
  math(EXPR FirstSeed "${Shard} * ${SeedsPerShard} + 1")
  add_test(NAME store_return_seeds_${FirstSeed}
    COMMAND node_tests "--test-case=returns?of?the?store*")
  set_tests_properties(store_return_seeds_${FirstSeed} PROPERTIES ENVIRONMENT
    "DRAGONFLYVANE_FIRST_SEED=${FirstSeed};DRAGONFLYVANE_SEEDS=${SeedsPerShard}")
endforeach()
# The delay of configuration changes, beside random faults.
add_test(NAME configuration_delay_seeds
  COMMAND node_tests "--test-case=a?change?of?the?configuration?is?in?force*")
set_tests_properties(configuration_delay_seeds PROPERTIES ENVIRONMENT
  "DRAGONFLYVANE_FIRST_SEED=11;DRAGONFLYVANE_SEEDS=100")
set_tests_properties(node PROPERTIES ENVIRONMENT "DRAGONFLYVANE_SEEDS=10")

# Tests with the real programs as processes.
file(GLOB ProcessTests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/process/*.cpp)
add_executable(process_tests ${ProcessTests} ${PROJECT_SOURCE_DIR}/tests/main.cc
  ${PROJECT_SOURCE_DIR}/platform/standin/cluster_files.cpp)
target_link_libraries(process_tests PRIVATE dragonflyvane_test_support)
target_compile_definitions(process_tests PRIVATE PROGRAM_FOLDER="${CMAKE_BINARY_DIR}")
add_dependencies(process_tests dragonflyvaned standin_store standin_backend)
add_test(NAME process COMMAND process_tests)
