#include "fuchsiadrum/serving/entry_sequences.h"

#include <iterator>

namespace fuchsiadrum::serving {

bool EntrySequences::Advance(TimePoint now,
                             const UpstreamIncarnation& incarnation,
                             int64_t sequence) {
  const auto [it, is_first] = this->latest.try_emplace(incarnation);
  Latest& known = it->second;
  const bool is_newer = is_first || sequence > known.sequence ||
                        (known.may_repeat && sequence == known.sequence);
  if (!is_newer && this->IsComparable(now, incarnation)) return false;

  known = Latest();
  known.sequence = sequence;
  return true;
}

void EntrySequences::OnReplacedEntry(const UpstreamIncarnation& incarnation) {
  const auto found = this->latest.find(incarnation);
  if (found != this->latest.end()) found->second.may_repeat = true;
}

bool EntrySequences::IsComparable(
    TimePoint now, const UpstreamIncarnation& incarnation) const {
  if (incarnation.started_unix_ms != 0) return true;
  return this->store_restored_at.us != 0 &&
         now - this->store_restored_at < this->options.restored_period;
}

void EntrySequences::DropUnknown(
    TimePoint now,
    const std::function<bool(const UpstreamIncarnation&)>& is_known) {
  for (auto it = this->latest.begin(); it != this->latest.end();) {
    Latest& known = it->second;
    if (is_known(it->first)) {
      known.unknown_since = TimePoint();
    } else if (known.unknown_since.us == 0) {
      known.unknown_since = now;
    }
    const bool is_over = known.unknown_since.us != 0 &&
                         now - known.unknown_since >= this->options.retention;
    it = is_over ? this->latest.erase(it) : std::next(it);
  }
}

}  // namespace fuchsiadrum::serving
