/// The platform's store on a fake clock, with its faults.
#ifndef DRAGONFLYVANE_TESTS_FAKE_STORE_HPP
#define DRAGONFLYVANE_TESTS_FAKE_STORE_HPP

#include "dragonflyvane/core/store.hpp"
#include "manual_scheduler.hpp"

#include <map>
#include <random>
#include <set>
#include <vector>

namespace dragonflyvane {

/// The rows, shared by all clients of a trial.
class fake_store {
public:
  /// A rule of the store that a trial breaks on purpose.
  enum class defect {
    None,
    /// Renewals of leases commit whatever their conditions say.
    RenewalsAlwaysCommit,
    /// Conditions on ownership maps are not checked.
    IgnoresMapConditions,
    /// Its clock runs at twice the speed.
    FastClock,
  };

  fake_store(manual_scheduler &Loop, uint64_t Seed,
             defect Defect = defect::None)
      : Loop(Loop), Random(Seed), Defect(Defect) {}

  /// An operator's write.
  void put(const row_id &Id, std::string Value);
  void erase(const row_id &Id);
  void setDown(bool Value) { Down = Value; }
  /// The part of answers to writes that are lost, and whether such writes are
  /// done only later.
  void setLoss(double Part, bool Late) {
    LossPart = Part;
    LossIsLate = Late;
  }
  void setLatency(duration Value) { Latency = Value; }
  /// Open watches are never answered.
  void forgetWatches() { Watches.clear(); }
  /// Forgets which rows changed when.
  void forgetHistory() { OldestKnown = Revision; }
  const std::map<row_id, stored_row> &rows() const { return Rows; }
  bool isDown() const { return Down; }

private:
  friend class fake_store_client;

  row_batch snapshot(row_kind Kind) const;
  transaction_result apply(const store_transaction &Transaction);
  void write(const row_id &Id, std::optional<std::string> Value);
  void answerWatches();
  bool ignoresCondition(const row_id &Id) const;
  static bool isRenewal(const store_transaction &Transaction);
  std::chrono::milliseconds storeTime() const;
  duration delay();
  bool chance(double Part);

  struct watch {
    row_kind Kind;
    row_version After = 0;
    time_point End;
    std::function<void(read_result)> Answer;
  };

  manual_scheduler &Loop;
  std::mt19937_64 Random;
  defect Defect;
  std::map<row_id, stored_row> Rows;
  std::vector<watch> Watches;
  row_version Revision = 10;
  row_version OldestKnown = 0;
  bool Down = false;
  double LossPart = 0;
  bool LossIsLate = false;
  duration Latency = std::chrono::milliseconds(5);
};

/// One daemon's access; it can be cut off, and dies with its daemon.
class fake_store_client final : public store {
public:
  explicit fake_store_client(fake_store &Store)
      : Store(Store), Alive(std::make_shared<bool>(true)) {}
  ~fake_store_client() override { *Alive = false; }

  void read(row_kind Kind, read_callback Callback) override;
  void watch(row_kind Kind, row_version After, std::chrono::milliseconds Wait,
             read_callback Callback) override;
  void transact(const store_transaction &Transaction,
                transaction_callback Callback) override;

  void setDisconnected(bool Value) { Disconnected = Value; }
  /// A deaf client's watches have gone silent; its calls work.
  void setWatchesStalled(bool Value) { WatchesStalled = Value; }
  /// While frozen, answers wait; the daemon takes them when it thaws.
  void setFrozen(bool Value);

private:
  void deliver(std::function<void()> Work);
  /// The callback for an answer, or for a default if none comes in time.
  template <typename Result>
  std::function<void(Result)> once(std::function<void(Result)> Callback,
                                   Result Default);
  bool reaches() const { return !Disconnected && !Store.Down; }

  fake_store &Store;
  std::shared_ptr<bool> Alive;
  bool Disconnected = false;
  bool WatchesStalled = false;
  bool Frozen = false;
  std::vector<std::function<void()>> Held;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_FAKE_STORE_HPP
