/// Prints the slice of each key given, of 256 slices of the service `bookings`.
///
///     example_slice_of_key treadle-17 pedal-3
#include <dragonflyvane/core.hpp>

#include <iostream>

int main(int Count, char **Arguments) {
  constexpr uint32_t SliceCount = 256;
  for (int I = 1; I < Count; ++I)
    std::cout << Arguments[I] << " "
              << dragonflyvane::sliceOf("bookings", Arguments[I], SliceCount)
              << "\n";
  return 0;
}
