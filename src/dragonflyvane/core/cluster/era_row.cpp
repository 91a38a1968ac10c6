#include "dragonflyvane/core/cluster/era_row.hpp"

#include <algorithm>
#include <charconv>

namespace dragonflyvane {

row_id eraRow() { return {row_kind::Cluster, "era"}; }

std::string encodeEra(const era_note &Note) {
  return std::to_string(Note.Era) + " " + std::to_string(Note.NotedAt.count());
}

era_note decodeEra(const std::optional<std::string> &Text) {
  era_note Note;
  if (!Text)
    return Note;
  const char *End = Text->data() + Text->size();
  auto Era = std::from_chars(Text->data(), End, Note.Era);
  if (Era.ec != std::errc() || Era.ptr == End)
    return Note;
  int64_t Millis = 0;
  std::from_chars(Era.ptr + 1, End, Millis);
  Note.NotedAt = std::chrono::milliseconds(Millis);
  return Note;
}

return_age returnAge(const row_batch &Batch,
                     std::chrono::milliseconds SettlingTime) {
  store_era Era = eraOf(Batch.Revision);
  if (Era == 0)
    return {};
  auto Row = std::find_if(
      Batch.Rows.begin(), Batch.Rows.end(),
      [](const stored_row &Entry) { return Entry.Id == eraRow(); });
  era_note Note;
  if (Row != Batch.Rows.end())
    Note = decodeEra(Row->Value);
  // Nobody has written since the return.
  if (Note.Era != Era)
    return {SettlingTime, 0};
  // Noted by a daemon of an earlier version.
  if (Note.NotedAt.count() == 0)
    return {};
  auto Age =
      std::max(Batch.StoreTime - Note.NotedAt, std::chrono::milliseconds{0});
  auto Left = std::max(SettlingTime - Age, std::chrono::milliseconds{0});
  return {Left, Row->Version};
}

} // namespace dragonflyvane
