#include "fuchsiadrum/request/key_table.h"

#include <algorithm>
#include <utility>

namespace fuchsiadrum::request {

std::string KeyTable::IndexOf(const pb::ClaimKey& key) {
  std::string index;
  index.reserve(key.organisation().size() + key.key().size() + 1);
  index += key.organisation();
  index += '\0';
  index += key.key();
  return index;
}

KeyRecord* KeyTable::Find(const std::string& index) {
  const auto found = this->records.find(index);
  return found == this->records.end() ? nullptr : &found->second;
}

KeyRecord& KeyTable::Put(const pb::Intent& intent, TimePoint now) {
  const std::string index = IndexOf(intent.key());
  KeyRecord& record = this->records[index];
  record.intent = intent;
  this->SetPhase(record, intent.phase(), now);
  return record;
}

void KeyTable::SetPhase(KeyRecord& record, pb::IntentPhase phase,
                        TimePoint now) {
  record.intent.set_phase(phase);
  record.since = now;
  record.serial = this->next_serial++;
  const std::string index = IndexOf(record.intent.key());
  if (phase == pb::INTENT_RUNNING) {
    this->running.insert(index);
  } else {
    this->running.erase(index);
  }
}

void KeyTable::Erase(const std::string& index) {
  this->records.erase(index);
  this->running.erase(index);
}

std::vector<KeyRecord*> KeyTable::Sorted() {
  std::vector<std::pair<std::string, KeyRecord*>> order;
  order.reserve(this->records.size());
  for (auto& [index, record] : this->records) {
    order.emplace_back(index, &record);
  }
  std::sort(order.begin(), order.end());

  std::vector<KeyRecord*> sorted;
  sorted.reserve(order.size());
  for (const auto& [index, record] : order) sorted.push_back(record);
  return sorted;
}

}  // namespace fuchsiadrum::request
