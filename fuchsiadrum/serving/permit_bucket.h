#pragma once

#include <optional>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of PermitBucket.
struct PermitBucketOptions {
  /// The bucket holds the permits of this time, but at least one.
  Duration burst = std::chrono::milliseconds(500);
};

/// Token bucket of permits, each for one request. It is empty at first, so that
/// a rate that moves from one VM to another allows no additional burst.
class PermitBucket {
 public:
  explicit PermitBucket(const PermitBucketOptions& opts) : options(opts) {}

  /// Sets the number of permits per second. At rate 0 the permits that have
  /// accrued are lost.
  void SetRate(TimePoint now, double permits_per_s);
  double Rate() const { return this->rate; }
  bool Has(TimePoint now) const { return this->LevelAt(now) >= 1; }
  /// True if the bucket can hold no more permits.
  bool IsFull(TimePoint now) const;
  /// Takes one permit; returns false if there is none.
  bool Take(TimePoint now);
  /// Puts back a permit that was not used.
  void Return(TimePoint now);
  /// When there will be a permit; nullopt at rate 0.
  std::optional<TimePoint> NextPermit(TimePoint now) const;

 private:
  double Capacity() const;
  double LevelAt(TimePoint now) const;

  PermitBucketOptions options;
  double rate = 0;
  double level = 0;
  TimePoint updated_at;
};

}  // namespace fuchsiadrum::serving
