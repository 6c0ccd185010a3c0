#pragma once

#include <map>
#include <string>
#include <string_view>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of ZoneEvacuations.
struct ZoneEvacuationsOptions {
  /// Bounds of the time after which a refused caller should come back. The end
  /// of an evacuation is not announced: one that has lasted for some time is
  /// expected to last about as long again.
  Duration min_retry = std::chrono::milliseconds(500);
  Duration max_retry = std::chrono::seconds(10);
};

/// The availability zones whose upstreams must get no request, as the operators
/// have last written them. A zone without upstreams may be among them;
/// upstreams that appear there later are concerned, too.
class ZoneEvacuations {
 public:
  explicit ZoneEvacuations(const ZoneEvacuationsOptions& opts)
      : options(opts) {}

  /// The zone is evacuated. Returns true if that was not known.
  bool Begin(TimePoint now, const std::string& zone);
  /// The evacuation was lifted. Returns true if the zone was evacuated.
  bool Lift(const std::string& zone);

  bool IsEvacuated(std::string_view zone) const {
    return this->begun_at.contains(zone);
  }
  /// Time after which a caller should come back whose request only upstreams of
  /// this zone can serve; zero if the zone is not evacuated.
  Duration RetryAfter(TimePoint now, std::string_view zone) const;
  /// Number of evacuated zones.
  size_t Size() const { return this->begun_at.size(); }

 private:
  ZoneEvacuationsOptions options;
  /// When each evacuation became known, by zone.
  std::map<std::string, TimePoint, std::less<>> begun_at;
};

}  // namespace fuchsiadrum::serving
