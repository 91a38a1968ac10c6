#include "dragonflyvane/node/restorable_store.hpp"

#include "dragonflyvane/net/log.hpp"

namespace dragonflyvane {

void restorable_store::observe(store_era Observed) {
  if (Era && Observed > *Era)
    writeLog(log_level::Warning, "store came back from an older copy",
             {{"step", "store"}, {"era", Observed}, {"before", *Era}});
  if (!Era || Observed > *Era)
    Era = Observed;
}

void restorable_store::read(row_kind Kind, read_callback Callback) {
  Direct.read(Kind, [this, Callback = std::move(Callback)](read_result Result) {
    if (Result.Outcome != read_outcome::Failed)
      observe(Result.Batch.Era);
    Callback(std::move(Result));
  });
}

void restorable_store::watch(row_kind Kind, row_version After,
                             std::chrono::milliseconds Wait,
                             read_callback Callback) {
  Direct.watch(Kind, After, Wait,
               [this, Callback = std::move(Callback)](read_result Result) {
                 if (Result.Outcome != read_outcome::Failed)
                   observe(Result.Batch.Era);
                 Callback(std::move(Result));
               });
}

void restorable_store::transact(const store_transaction &Transaction,
                                transaction_callback Callback) {
  Direct.transact(Transaction, [this, Callback = std::move(Callback)](
                                   transaction_result Result) {
    if (Result.Era)
      observe(*Result.Era);
    Callback(std::move(Result));
  });
}

} // namespace dragonflyvane
