#include "fuchsiadrum/budget/ended_grants.h"

#include <algorithm>

namespace fuchsiadrum::budget {

bool EndedGrants::Item::IsSettled() const {
  if (!this->settled) return false;
  // Another successor may have known a shorter silence.
  return this->may_be_older ? this->stored.granted == this->settled->granted
                            : this->stored.granted <= this->settled->granted;
}

bool EndedGrants::Knows(const EndedGrant& grant) const {
  return std::ranges::any_of(this->items, [&](const Item& item) {
    return item.grant.organisation == grant.organisation &&
           item.grant.holder == grant.holder;
  });
}

void EndedGrants::Add(const EndedGrant& grant) {
  if (this->Knows(grant)) return;
  this->items.push_back({.grant = grant});
  this->known_end.reset();
}

bool EndedGrants::HasUnsettled() const {
  return std::ranges::any_of(
      this->items, [](const Item& item) { return !item.IsSettled(); });
}

void EndedGrants::OnRead(uint64_t end, const Find& find) {
  this->known_end = end;
  for (Item& item : this->items) {
    item.stored = find(item.grant.organisation, item.grant.holder)
                      .value_or(RecordedGrant());
    if (item.settled) continue;
    item.settled =
        SettledGrant(this->options, item.stored, item.grant.heartbeat_ceiling,
                     item.grant.silence);
  }
}

void EndedGrants::OnReadTail(uint64_t from, uint64_t end, const Find& find) {
  if (this->known_end != from) return;
  this->known_end = end;
  for (Item& item : this->items) {
    const auto found = find(item.grant.organisation, item.grant.holder);
    if (found) item.stored = *found;
  }
}

void EndedGrants::OnWritten(uint64_t from, uint64_t end,
                            const std::vector<GrantSettlement>& settlements) {
  this->OnReadTail(
      from, end,
      [&](const std::string& organisation, const std::string& holder) {
        const auto found =
            std::ranges::find_if(settlements, [&](const GrantSettlement& done) {
              return done.organisation == organisation && done.holder == holder;
            });
        return found == settlements.end() ? std::optional<RecordedGrant>()
                                          : found->after;
      });
}

void EndedGrants::OnNewEra() {
  this->known_end.reset();
  std::erase_if(this->items, [](const Item& item) { return !item.settled; });
  for (Item& item : this->items) {
    item.may_be_older = true;
    item.stored = RecordedGrant();
  }
}

std::vector<GrantSettlement> EndedGrants::Plan() const {
  std::vector<GrantSettlement> planned;
  for (const Item& item : this->items) {
    if (item.IsSettled() || !item.settled) continue;
    planned.push_back({.organisation = item.grant.organisation,
                       .holder = item.grant.holder,
                       .before = item.stored,
                       .after = *item.settled});
  }
  return planned;
}

}  // namespace fuchsiadrum::budget
