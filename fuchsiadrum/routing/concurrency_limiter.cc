#include "fuchsiadrum/routing/concurrency_limiter.h"

namespace fuchsiadrum::routing {

void ConcurrencyLimiter::OnRefused(TimePoint now, UpstreamIndex index) {
  AdaptiveLimit& limit = this->RecordOf(index).limit;
  const auto present = static_cast<double>(this->table.At(index).in_flight);
  if (!limit.Decrease(now, present, this->options.decrease, this->options)) {
    return;
  }
  this->table.SetLearnedLimit(index, static_cast<int>(limit.Value()));
}

void ConcurrencyLimiter::OnCompleted(UpstreamIndex index, int in_flight) {
  AdaptiveLimit& limit = this->RecordOf(index).limit;
  if (!limit.IsSet()) return;

  // An unused limit teaches nothing about the upstream.
  if (2 * in_flight < static_cast<int>(limit.Value())) return;
  limit.Increase(1.0 / limit.Value(), this->options);
  this->table.SetLearnedLimit(index, static_cast<int>(limit.Value()));
}

ConcurrencyLimiter::Record& ConcurrencyLimiter::RecordOf(UpstreamIndex index) {
  if (this->records.size() <= index) {
    this->records.resize(this->table.Slots());
  }
  Record& record = this->records[index];
  const uint32_t epoch = this->table.At(index).epoch;
  if (record.epoch != epoch) record = Record{.epoch = epoch};
  return record;
}

}  // namespace fuchsiadrum::routing
