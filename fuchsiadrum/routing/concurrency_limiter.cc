#include "fuchsiadrum/routing/concurrency_limiter.h"

#include <algorithm>

namespace fuchsiadrum::routing {

void ConcurrencyLimiter::OnRefused(TimePoint now, UpstreamIndex index) {
  Record& record = this->RecordOf(index);
  const bool limited = record.limit > 0;
  if (limited && now - record.decreased_at < this->options.decrease_interval) {
    return;
  }
  record.decreased_at = now;

  const double present =
      limited ? record.limit
              : static_cast<double>(this->table.At(index).in_flight);
  record.limit = std::clamp(present * this->options.decrease,
                            static_cast<double>(this->options.least),
                            static_cast<double>(this->options.most));
  this->table.SetLearnedLimit(index, static_cast<int>(record.limit));
}

void ConcurrencyLimiter::OnCompleted(UpstreamIndex index, int in_flight) {
  Record& record = this->RecordOf(index);
  if (record.limit <= 0) return;

  // An unused limit teaches nothing about the upstream.
  if (2 * in_flight < static_cast<int>(record.limit)) return;
  record.limit = std::min(record.limit + 1.0 / record.limit,
                          static_cast<double>(this->options.most));
  this->table.SetLearnedLimit(index, static_cast<int>(record.limit));
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
