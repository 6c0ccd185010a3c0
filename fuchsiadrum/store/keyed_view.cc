#include "fuchsiadrum/store/keyed_view.h"

#include <algorithm>

namespace fuchsiadrum::store {

KeyedView::NextRead KeyedView::Next() const {
  return {.tail = this->reading_tail,
          .from = this->tail_from,
          .after_key = this->after_key};
}

void KeyedView::OnNewest(const NewestPage& page) {
  if (this->first_page) {
    this->tail_from = page.end_offset;
    this->first_page = false;
  }
  this->last_page_end = page.end_offset;
  for (const KeyedRecord& record : page.records) {
    this->seen[record.key] = record.offset;
    this->Apply(record);
    this->after_key = record.key;
  }
  if (page.more && !page.records.empty()) return;

  this->DropUnseen();
  this->reading_tail = true;
  this->consistent = this->tail_from >= this->last_page_end;
}

void KeyedView::OnTail(const TailPage& page) {
  for (const KeyedRecord& record : page.records) this->Apply(record);
  this->tail_from = std::max(this->tail_from, page.next_offset);
  this->known_end = page.end_offset;
  if (this->tail_from >= this->last_page_end) this->consistent = true;
}

void KeyedView::OnExpired() {
  this->reading_tail = false;
  this->consistent = false;
  this->first_page = true;
  this->after_key.clear();
  this->seen.clear();
}

void KeyedView::OnNewEra() {
  for (const auto& [key, offset] : this->offsets) {
    this->unconfirmed.insert(key);
  }
  this->offsets.clear();
  this->known_end = 0;
  this->last_page_end = 0;
  this->OnExpired();
}

void KeyedView::DropUnconfirmed() {
  const std::set<std::string> dropped = std::move(this->unconfirmed);
  this->unconfirmed.clear();
  for (const std::string& key : dropped) {
    this->change({.key = key, .value = std::nullopt});
  }
}

void KeyedView::Apply(const KeyedRecord& record) {
  const auto known = this->offsets.find(record.key);
  if (known != this->offsets.end() && known->second >= record.offset) return;

  this->unconfirmed.erase(record.key);
  if (record.value) {
    this->offsets[record.key] = record.offset;
  } else if (known != this->offsets.end()) {
    this->offsets.erase(known);
  }
  this->change(record);
}

void KeyedView::DropUnseen() {
  // A key that is in none of the pages was deleted in the part of the tail that
  // was not read.
  std::vector<std::string> dropped;
  for (const auto& [key, offset] : this->offsets) {
    if (!this->seen.contains(key) && offset < this->tail_from) {
      dropped.push_back(key);
    }
  }
  for (const std::string& key : dropped) {
    this->offsets.erase(key);
    this->change({.key = key, .value = std::nullopt});
  }
  this->seen.clear();
}

}  // namespace fuchsiadrum::store
