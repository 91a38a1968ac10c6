# The stand-ins that the demo runs in place of the store, backend servers and
# callers, and the operators' tool.
foreach(Name store backend load)
  dragonflyvane_program(standin_${Name} platform/standin/${Name}.cpp)
endforeach()
dragonflyvane_program(dragonflyvanectl src/programs/dragonflyvanectl.cpp)
