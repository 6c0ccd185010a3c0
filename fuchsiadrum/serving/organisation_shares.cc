#include "fuchsiadrum/serving/organisation_shares.h"

namespace fuchsiadrum::serving {

void OrganisationShares::Add(TimePoint now, std::string_view organisation,
                             size_t bytes) {
  auto found = this->rates.find(organisation);
  if (found == this->rates.end()) {
    found = this->rates
                .emplace(std::string(organisation),
                         DecayingRate(this->options.time_constant))
                .first;
  }
  found->second.Add(now, static_cast<double>(bytes));
  this->advanced_at = {};
}

double OrganisationShares::Share(TimePoint now, std::string_view organisation) {
  this->Advance(now);
  const auto found = this->rates.find(organisation);
  if (found == this->rates.end() || this->total <= 0) return 0;
  return found->second.PerSecond() / this->total;
}

bool OrganisationShares::IsAboveFair(TimePoint now,
                                     std::string_view organisation) {
  const double share = this->Share(now, organisation);
  return share * static_cast<double>(this->rates.size()) >
         this->options.tolerance;
}

double OrganisationShares::Concentration(TimePoint now) {
  this->Advance(now);
  if (this->total <= 0) return 1;
  double sum = 0;
  for (const auto& [name, rate] : this->rates) {
    const double share = rate.PerSecond() / this->total;
    sum += share * share;
  }
  return sum;
}

void OrganisationShares::Advance(TimePoint now) {
  if (this->advanced_at == now) return;
  this->advanced_at = now;
  this->total = 0;
  for (auto& [name, rate] : this->rates) rate.Advance(now);
  std::erase_if(this->rates, [this](const auto& entry) {
    return entry.second.PerSecond() < this->options.negligible_bytes_per_s;
  });
  for (const auto& [name, rate] : this->rates) this->total += rate.PerSecond();
}

}  // namespace fuchsiadrum::serving
