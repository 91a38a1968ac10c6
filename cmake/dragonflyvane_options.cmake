# Language standard, default build type and warnings of all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

add_library(dragonflyvane_options INTERFACE)
target_compile_options(dragonflyvane_options INTERFACE -Wall -Wextra -Werror)
if(DRAGONFLYVANE_SANITIZE)
  target_compile_options(dragonflyvane_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(dragonflyvane_options INTERFACE -fsanitize=address,undefined)
endif()
target_link_options(dragonflyvane_options INTERFACE -static-libstdc++ -static-libgcc)
target_include_directories(dragonflyvane_options INTERFACE
  ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
