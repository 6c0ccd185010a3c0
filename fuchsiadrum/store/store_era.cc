#include "fuchsiadrum/store/store_era.h"

#include <array>

namespace fuchsiadrum::store {

std::string_view EraVerdictName(EraVerdict verdict) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "current", "risen", "outdated", "doubtful"};
  return kNames[static_cast<size_t>(verdict)];
}

EraVerdict StoreEra::OnAnswer(std::optional<uint64_t> era,
                              uint64_t call_generation) {
  const EraVerdict verdict = this->Judge(era, call_generation);
  ++this->counts[static_cast<size_t>(verdict)];
  return verdict;
}

uint64_t StoreEra::Count(EraVerdict verdict) const {
  return this->counts[static_cast<size_t>(verdict)];
}

EraVerdict StoreEra::Judge(std::optional<uint64_t> era,
                           uint64_t call_generation) {
  if (!this->answered) {
    this->answered = true;
    this->current = era;
    return EraVerdict::kCurrent;
  }
  if (era == this->current) {
    this->doubtful_in_a_row = 0;
    // The answer itself is sound, but its call named positions of an earlier
    // copy.
    return call_generation == this->generation ? EraVerdict::kCurrent
                                               : EraVerdict::kOutdated;
  }
  // Calls that were under way when the era rose are answered by the copy
  // before.
  const bool is_lower = era && this->current && *era < *this->current;
  if (is_lower && call_generation < this->generation) {
    return EraVerdict::kOutdated;
  }
  const bool is_next = era && this->current && *era == *this->current + 1;
  if (!is_next && !this->IsConfirmed(era)) return EraVerdict::kDoubtful;
  this->Advance(era);
  return EraVerdict::kRisen;
}

bool StoreEra::IsConfirmed(std::optional<uint64_t> era) {
  if (this->doubtful_in_a_row == 0 || this->doubtful != era) {
    this->doubtful = era;
    this->doubtful_in_a_row = 0;
  }
  ++this->doubtful_in_a_row;
  return this->doubtful_in_a_row >= this->options.doubtful_answers;
}

void StoreEra::Advance(std::optional<uint64_t> era) {
  const std::optional<uint64_t> before = this->current;
  this->current = era;
  this->doubtful_in_a_row = 0;
  ++this->generation;
  for (const Listener& listener : this->listeners) listener(before, era);
}

}  // namespace fuchsiadrum::store
