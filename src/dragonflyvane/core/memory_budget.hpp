/// Bounds the memory that the bodies of messages take in a process.
#ifndef DRAGONFLYVANE_CORE_MEMORY_BUDGET_HPP
#define DRAGONFLYVANE_CORE_MEMORY_BUDGET_HPP

#include <cstddef>
#include <limits>
#include <utility>

namespace dragonflyvane {

/// The bytes that all bodies of a process may take together. A body may take at
/// most half of what the others leave, so that there is always room for a small
/// one.
class memory_budget {
public:
  /// A budget without a limit.
  memory_budget() = default;
  /// A budget of `Limit` bytes.
  explicit memory_budget(size_t Limit) : Limit(Limit) {}
  memory_budget(const memory_budget &) = delete;
  memory_budget &operator=(const memory_budget &) = delete;

  /// Replaces the limit. Bodies that are held already keep their shares.
  void setLimit(size_t Bytes) { Limit = Bytes; }
  /// Returns the bytes that are taken.
  size_t used() const { return Used; }
  /// Returns the size in bytes of the largest body that is ever taken.
  size_t largestShare() const { return Limit / 2; }

private:
  friend class memory_share;

  size_t Limit = std::numeric_limits<size_t>::max();
  size_t Used = 0;
};

/// The part of a budget that one body takes. Its destruction returns the part.
class memory_share {
public:
  /// A share of no budget, which may have any size.
  memory_share() = default;
  /// An empty share. `Budget` must outlive it.
  explicit memory_share(memory_budget &Budget) : Budget(&Budget) {}
  memory_share(memory_share &&Other) noexcept { swap(Other); }
  memory_share &operator=(memory_share &&Other) noexcept {
    memory_share Taken(std::move(Other));
    swap(Taken);
    return *this;
  }
  ~memory_share();

  /// Sets the size in bytes. Returns false, and changes nothing, if the body
  /// may not take as much.
  [[nodiscard]] bool resize(size_t NewSize);

private:
  void swap(memory_share &Other) noexcept;

  memory_budget *Budget = nullptr;
  size_t Size = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_MEMORY_BUDGET_HPP
