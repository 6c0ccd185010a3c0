#include "fuchsiadrum/catalogue/entry_index.h"

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::catalogue {
namespace {

const std::set<std::string> kNoNames;

}  // namespace

void EntryIndex::Add(const pb::CatalogueEntry& entry) {
  if (entry.has_caller_key()) {
    const pb::CallerKey& key = entry.caller_key();
    this->keys_by_salt[key.salt()][key.digest()].insert(key.organisation());
  }
  if (entry.has_upstream()) {
    for (const std::string& model : entry.upstream().models()) {
      this->by_model[model].insert(entry.name());
    }
    if (!entry.upstream().service().empty()) {
      this->by_service[entry.upstream().service()].insert(entry.name());
    }
  }
}

void EntryIndex::Remove(const pb::CatalogueEntry& entry) {
  if (entry.has_caller_key()) {
    const pb::CallerKey& key = entry.caller_key();
    auto& digests = this->keys_by_salt[key.salt()];
    auto& owners = digests[key.digest()];
    const auto found = owners.find(key.organisation());
    if (found != owners.end()) owners.erase(found);
    if (owners.empty()) digests.erase(key.digest());
    if (digests.empty()) this->keys_by_salt.erase(key.salt());
  }
  if (entry.has_upstream()) {
    for (const std::string& model : entry.upstream().models()) {
      this->by_model[model].erase(entry.name());
    }
    if (!entry.upstream().service().empty()) {
      this->by_service[entry.upstream().service()].erase(entry.name());
    }
  }
}

std::optional<std::string> EntryIndex::OrganisationOfKey(
    std::string_view key) const {
  for (const auto& [salt, digests] : this->keys_by_salt) {
    const auto found = digests.find(Hmac(salt, key));
    if (found != digests.end()) return *found->second.begin();
  }
  return std::nullopt;
}

const std::set<std::string>& EntryIndex::UpstreamsOfModel(
    std::string_view model) const {
  const auto found = this->by_model.find(model);
  return found == this->by_model.end() ? kNoNames : found->second;
}

const std::set<std::string>& EntryIndex::UpstreamsOfService(
    std::string_view service) const {
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ? kNoNames : found->second;
}

}  // namespace fuchsiadrum::catalogue
