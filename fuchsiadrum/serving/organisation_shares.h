#pragma once

#include <map>
#include <string>
#include <string_view>

#include "fuchsiadrum/core/decaying_rate.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of OrganisationShares.
struct OrganisationSharesOptions {
  /// Time constant of the averages: a few requests of a steady caller.
  Duration time_constant = std::chrono::seconds(5);
  /// Bytes per second below which an organisation does not count as active.
  double negligible_bytes_per_s = 200;
  /// An organisation exceeds its fair share above this multiple of an equal
  /// part. Organisations with equal demand differ by chance.
  double tolerance = 1.25;
};

/// Shares of the organisations in the bytes of all requests that were offered
/// to this VM, refused ones included.
class OrganisationShares {
 public:
  explicit OrganisationShares(const OrganisationSharesOptions& opts)
      : options(opts) {}

  /// A request of the organisation was offered. Requests without an
  /// organisation count as those of one with an empty name.
  void Add(TimePoint now, std::string_view organisation, size_t bytes);
  /// Part of the organisation in the bytes, from 0 to 1.
  double Share(TimePoint now, std::string_view organisation);
  /// True if the organisation offers more than an equal part of the bytes.
  bool IsAboveFair(TimePoint now, std::string_view organisation);
  /// Sum of the squares of all shares: 1 if one organisation offers all bytes.
  double Concentration(TimePoint now);

 private:
  /// Decays all rates up to `now` and forgets organisations without demand.
  void Advance(TimePoint now);

  OrganisationSharesOptions options;
  std::map<std::string, DecayingRate, std::less<>> rates;
  TimePoint advanced_at;
  /// Of the active organisations.
  double total = 0;
};

}  // namespace fuchsiadrum::serving
