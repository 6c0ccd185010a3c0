#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::store {

/// One record of a stream whose newest record of each key is kept for good.
struct KeyedRecord {
  std::string key;
  /// Empty: the key was deleted.
  std::optional<std::string> value;
  uint64_t offset = 0;
};

/// One page of the newest records.
struct NewestPage {
  std::vector<KeyedRecord> records;
  bool more = false;
  /// End of the stream when the page was read.
  uint64_t end_offset = 0;
};

/// Records of the stream's tail, in order.
struct TailPage {
  std::vector<KeyedRecord> records;
  /// Offset after the last record.
  uint64_t next_offset = 0;
  /// End of the stream when the page was read.
  uint64_t end_offset = 0;
};

/// The newest value of each key of one stream, kept up to date by reading: the
/// newest records first, then the tail. Pages of the newest records are no
/// snapshot, so the tail is read from the end that the first page named, and
/// the view is consistent once the tail has passed the end of the last page.
class KeyedView {
 public:
  /// What to read next.
  struct NextRead {
    /// True: the tail from `from`; false: newest records after `after_key`.
    bool tail = false;
    uint64_t from = 0;
    std::string after_key;
  };
  using OnChange = std::function<void(const KeyedRecord&)>;

  /// `on_change` is called for each key whose value changes.
  explicit KeyedView(OnChange on_change) : change(std::move(on_change)) {}

  NextRead Next() const;
  void OnNewest(const NewestPage& page);
  void OnTail(const TailPage& page);
  /// The tail at the present position has expired: read the newest again. What
  /// is known stays until the new pages say otherwise.
  void OnExpired();

  /// True once everything up to the end of the last page was read.
  bool IsConsistent() const { return this->consistent; }
  /// True if more records than were read are known to be in the stream.
  bool IsBehind() const {
    return !this->reading_tail || this->tail_from < this->known_end;
  }
  /// Records of the tail that are known and not read.
  uint64_t Behind() const {
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
  bool reading_tail = false;
  bool consistent = false;
  bool first_page = true;
  std::string after_key;
  uint64_t tail_from = 0;
  uint64_t pages_end = 0;
  uint64_t known_end = 0;
  /// Keys that were named since the last restart.
  std::map<std::string, uint64_t> seen;
};

}  // namespace fuchsiadrum::store
