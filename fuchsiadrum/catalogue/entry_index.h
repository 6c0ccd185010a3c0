#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "schema/catalogue.pb.h"

namespace fuchsiadrum::catalogue {

/// Look-up tables over the entries; derived, not part of the folded state.
class EntryIndex {
 public:
  void Add(const pb::CatalogueEntry& entry);
  void Remove(const pb::CatalogueEntry& entry);

  /// Organisation whose caller key matches; nullopt: none. One HMAC for each
  /// distinct salt, so that keys of one deployment share a salt.
  std::optional<std::string> OrganisationOfKey(std::string_view key) const;
  /// Names of the upstreams that may serve a model, in order.
  const std::set<std::string>& UpstreamsOfModel(std::string_view model) const;
  /// Names of the instances of a service, in order.
  const std::set<std::string>& UpstreamsOfService(
      std::string_view service) const;

 private:
  using Names = std::set<std::string>;

  /// Organisations by digest by salt; two entries may hold the same key.
  std::map<std::string, std::map<std::string, std::multiset<std::string>>>
      keys_by_salt;
  std::map<std::string, Names, std::less<>> by_model;
  std::map<std::string, Names, std::less<>> by_service;
};

}  // namespace fuchsiadrum::catalogue
