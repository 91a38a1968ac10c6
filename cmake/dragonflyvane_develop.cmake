# Stand-ins for the demo and the tests, and the operators' tool.
foreach(Name store backend load)
  dragonflyvane_program(standin_${Name} platform/standin/${Name}.cpp)
endforeach()
dragonflyvane_program(dragonflyvanectl src/programs/dragonflyvanectl.cpp)
