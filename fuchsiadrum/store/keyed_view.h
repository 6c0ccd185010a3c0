#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::store {

/// One record of a compacted stream, which keeps the newest record of each key
/// indefinitely.
struct KeyedRecord {
  std::string key;
  /// Empty if the key was deleted.
  std::optional<std::string> value;
  uint64_t offset = 0;
};

/// One page of the newest records of all keys.
struct NewestPage {
  std::vector<KeyedRecord> records;
  /// Number of records that could not be read and were left out.
  size_t unreadable = 0;
  bool more = false;
  /// End of the stream when the page was read.
  uint64_t end_offset = 0;
};

/// One page of the stream's tail, in the order of the offsets.
struct TailPage {
  std::vector<KeyedRecord> records;
  /// Number of records that could not be read and were left out.
  size_t unreadable = 0;
  /// Offset after the last record.
  uint64_t next_offset = 0;
  /// End of the stream when the page was read.
  uint64_t end_offset = 0;
};

/// Follows the newest value of each key of one stream by reading the newest
/// records first and then the tail. The pages of newest records are not a
/// consistent snapshot. Therefore the tail is read from the end offset that the
/// first page named, and the view is consistent once the tail has reached the
/// end offset of the last page.
class KeyedView {
 public:
  /// What to read next.
  struct NextRead {
    /// If true, read the tail from offset `from`; otherwise read the newest
    /// records after `after_key`.
    bool tail = false;
    uint64_t from = 0;
    std::string after_key;
  };
  using OnChange = std::function<void(const KeyedRecord&)>;

  /// Calls `on_change` for each key whose value changes.
  explicit KeyedView(OnChange on_change) : change(std::move(on_change)) {}

  NextRead Next() const;
  void OnNewest(const NewestPage& page);
  void OnTail(const TailPage& page);
  /// The store no longer has the tail at the current offset: restarts with the
  /// newest records. Known values stay until the new pages replace them.
  void OnExpired();
  /// The store was restored from an older copy: offsets known so far order
  /// nothing any more. Restarts with the newest records, each of which replaces
  /// what is known of its key. Keys that the copy lacks keep their values until
  /// DropUnconfirmed, because their owners may write them again.
  void OnNewEra();
  /// Drops the keys that were known before OnNewEra and not read since.
  void DropUnconfirmed();
  /// True if DropUnconfirmed would drop a key.
  bool HasUnconfirmed() const { return !this->unconfirmed.empty(); }

  /// True once the tail was read up to the end offset of the last page.
  bool IsConsistent() const { return this->consistent; }
  /// True if the stream is known to have unread records.
  bool IsBehind() const {
    return !this->reading_tail || this->tail_from < this->known_end;
  }
  /// Number of records of the tail that are known but not read.
  uint64_t Lag() const {
    return this->known_end > this->tail_from ? this->known_end - this->tail_from
                                             : 0;
  }
  /// Offset of the next record of the tail.
  uint64_t NextOffset() const { return this->tail_from; }

 private:
  void Apply(const KeyedRecord& record);
  void DropUnseen();

  OnChange change;
  /// Offset of the newest record of each key.
  std::map<std::string, uint64_t> offsets;
  /// Keys with a value of an earlier era only.
  std::set<std::string> unconfirmed;
  bool reading_tail = false;
  bool consistent = false;
  bool first_page = true;
  std::string after_key;
  uint64_t tail_from = 0;
  uint64_t last_page_end = 0;
  uint64_t known_end = 0;
  /// Keys, with their offsets, in the pages of newest records since the last
  /// restart.
  std::map<std::string, uint64_t> seen;
};

}  // namespace fuchsiadrum::store
