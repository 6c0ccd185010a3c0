#include "fuchsiadrum/catalogue/history.h"

#include <utility>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::catalogue {

void History::Add(pb::CatalogueChange change) {
  this->digest += DigestOf(change);
  this->numbers[change.edit().edit_id()] =
      this->first_number + this->changes.size();
  this->changes.push_back(std::move(change));

  if (this->changes.size() <= this->max_changes) return;
  this->digest -= DigestOf(this->changes.front());
  this->numbers.erase(this->changes.front().edit().edit_id());
  this->changes.pop_front();
  ++this->first_number;
}

const pb::CatalogueChange* History::Find(std::string_view edit_id) const {
  const auto found = this->numbers.find(edit_id);
  if (found == this->numbers.end()) return nullptr;
  return &this->changes[found->second - this->first_number];
}

uint64_t History::DigestOf(const pb::CatalogueChange& change) {
  return Hash64(change.SerializeAsString());
}

}  // namespace fuchsiadrum::catalogue
