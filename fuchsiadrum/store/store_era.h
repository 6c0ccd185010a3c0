#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace fuchsiadrum::store {

/// What the era in an answer of the store says about that answer.
enum class EraVerdict {
  kCurrent,   // made by the copy of the store that is known
  kRisen,     // made by a newer copy, to which the era was advanced
  kOutdated,  // made by an earlier copy; what it says may have been lost
  kDoubtful,  // names an era that can't follow the known one
};

/// Name of a verdict, for log lines.
std::string_view EraVerdictName(EraVerdict verdict);

/// Options of a StoreEra.
struct StoreEraOptions {
  /// Consecutive answers that must name the same doubtful era before it is
  /// believed. Without an end to the doubt, one corrupt answer would make all
  /// later ones useless.
  int doubtful_answers = 3;
};

/// Tracks the era of the store. A store that was restored from an older copy
/// has lost the records since that copy, gives their offsets to other records,
/// and names an era that is higher by one. Whoever remembers offsets, sequence
/// numbers or acknowledgements of the store registers a listener and forgets
/// them when the era has risen. A store that names no era never loses records.
class StoreEra {
 public:
  /// Called with the era before, which is empty if it is not known, and the new
  /// one.
  using Listener = std::function<void(std::optional<uint64_t> before,
                                      std::optional<uint64_t> now)>;

  StoreEra() = default;
  explicit StoreEra(const StoreEraOptions& opts) : options(opts) {}

  /// Registers a listener, which is called before the answer that names the new
  /// era is used. Listeners are never removed.
  void Subscribe(Listener listener) {
    this->listeners.push_back(std::move(listener));
  }

  /// An answer names this era, or none. `generation`: the value of Generation
  /// when its call was begun.
  EraVerdict OnAnswer(std::optional<uint64_t> era, uint64_t generation);

  /// The era of the store; empty if it names none, or has not answered yet.
  std::optional<uint64_t> Current() const { return this->current; }
  /// Grows each time the store began anew. A call of an earlier generation was
  /// made with positions of an earlier copy.
  uint64_t Generation() const { return this->generation; }
  /// Number of answers with the verdict.
  uint64_t Count(EraVerdict verdict) const;

 private:
  EraVerdict Judge(std::optional<uint64_t> era, uint64_t call_generation);
  /// True if the doubtful era has been named often enough to be believed.
  bool IsConfirmed(std::optional<uint64_t> era);
  void Advance(std::optional<uint64_t> era);

  StoreEraOptions options;
  std::vector<Listener> listeners;
  std::optional<uint64_t> current;
  bool answered = false;
  uint64_t generation = 0;
  std::optional<uint64_t> doubtful;
  int doubtful_in_a_row = 0;
  std::vector<uint64_t> counts = std::vector<uint64_t>(4);
};

}  // namespace fuchsiadrum::store
