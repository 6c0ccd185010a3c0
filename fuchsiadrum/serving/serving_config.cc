#include "fuchsiadrum/serving/serving_config.h"

#include <algorithm>
#include <array>

namespace fuchsiadrum::serving {

std::string_view RequestKindName(RequestKind kind) {
  static constexpr std::array<std::string_view, 3> kNames = {"safe", "unsafe",
                                                             "streaming"};
  return kNames[static_cast<size_t>(kind)];
}

void ServingConfig::Index() {
  this->routes_of_host.clear();
  this->organisation_of_key.clear();

  for (size_t i = 0; i < this->routes.size(); ++i) {
    this->routes_of_host[this->routes[i].host].push_back(i);
  }
  for (auto& [host, indexes] : this->routes_of_host) {
    std::ranges::stable_sort(indexes, [this](size_t a, size_t b) {
      return this->routes[a].path_prefix.size() >
             this->routes[b].path_prefix.size();
    });
  }

  for (size_t i = 0; i < this->organisations.size(); ++i) {
    for (const std::string& key : this->organisations[i].keys) {
      this->organisation_of_key[key] = i;
    }
  }
}

const Route* ServingConfig::Match(std::string_view host,
                                  std::string_view path) const {
  const auto found = this->routes_of_host.find(std::string(host));
  if (found == this->routes_of_host.end()) return nullptr;

  for (const size_t i : found->second) {
    if (path.starts_with(this->routes[i].path_prefix)) return &this->routes[i];
  }
  return nullptr;
}

const Organisation* ServingConfig::FindOrganisationByKey(
    const std::string& key) const {
  const auto found = this->organisation_of_key.find(key);
  if (found == this->organisation_of_key.end()) return nullptr;
  return &this->organisations[found->second];
}

const Service* ServingConfig::FindService(std::string_view name) const {
  const auto found = std::ranges::find(this->services, name, &Service::name);
  return found == this->services.end() ? nullptr : &*found;
}

const std::string& ChooseService(const Route& route, Rng& rng) {
  static const std::string kNone;
  if (route.services.empty()) return kNone;

  double total = 0;
  for (const ServiceShare& share : route.services) total += share.weight;
  double remaining = rng.Unit() * total;
  for (const ServiceShare& share : route.services) {
    if (remaining < share.weight) return share.service;
    remaining -= share.weight;
  }
  return route.services.back().service;
}

bool CurrentConfig::UpdateIfNewer(ServingConfigPtr config) {
  if (!config) return false;
  if (this->current && config->version <= this->current->version) return false;
  this->current = std::move(config);
  return true;
}

}  // namespace fuchsiadrum::serving
