# The libraries, each of which links the one before it, and the programs. The
# libraries contain no tests and no stand-ins.
function(dragonflyvane_library Layer Folder)
  file(GLOB_RECURSE Sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${Folder}/*.cpp)
  list(FILTER Sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER Sources EXCLUDE REGEX "/standin/")
  add_library(dragonflyvane_${Layer} STATIC ${Sources})
  target_link_libraries(dragonflyvane_${Layer} PUBLIC dragonflyvane_options ${ARGN})
endfunction()

dragonflyvane_library(core src/dragonflyvane/core
  nlohmann_json::nlohmann_json xxhash)
dragonflyvane_library(net src/dragonflyvane/net
  dragonflyvane_core nghttp2 Boost::log Threads::Threads)
dragonflyvane_library(node src/dragonflyvane/node
  dragonflyvane_net absl::flags absl::flags_parse absl::flags_usage)
dragonflyvane_library(platform platform dragonflyvane_node absl::strings)

function(dragonflyvane_program Name)
  add_executable(${Name} ${ARGN})
  target_link_libraries(${Name} PRIVATE dragonflyvane_platform)
endfunction()

dragonflyvane_program(dragonflyvaned src/programs/dragonflyvaned.cpp)
if(DRAGONFLYVANE_DEVELOP)
  include(dragonflyvane_develop)
endif()
