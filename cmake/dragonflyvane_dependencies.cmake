# Libraries from the Debian packages that tools/install installs. They are linked
# statically but for the C library: until a process has loaded its shared
# libraries, it cannot block the signals that end it.
find_package(Threads REQUIRED)
find_package(absl REQUIRED)
set(Boost_USE_STATIC_LIBS ON)
find_package(Boost REQUIRED COMPONENTS log)
find_package(nlohmann_json REQUIRED)
if(DRAGONFLYVANE_DEVELOP)
  find_package(doctest REQUIRED)
endif()

# The package's targets name the shared libraries, beside which the static ones
# are installed.
get_property(ImportedTargets DIRECTORY PROPERTY IMPORTED_TARGETS)
foreach(Target IN LISTS ImportedTargets)
  if(NOT Target MATCHES "^absl::")
    continue()
  endif()
  get_target_property(Location ${Target} IMPORTED_LOCATION_NONE)
  if(Location)
    string(REGEX REPLACE "\\.so[.0-9]*$" ".a" Location "${Location}")
    set_target_properties(${Target} PROPERTIES IMPORTED_LOCATION_NONE "${Location}")
  endif()
endforeach()

function(dragonflyvane_static_library Name File)
  find_library(${Name}_LIBRARY NAMES ${File} REQUIRED)
  add_library(${Name} STATIC IMPORTED)
  set_target_properties(${Name} PROPERTIES IMPORTED_LOCATION "${${Name}_LIBRARY}")
endfunction()
dragonflyvane_static_library(nghttp2 libnghttp2.a)
dragonflyvane_static_library(xxhash libxxhash.a)
