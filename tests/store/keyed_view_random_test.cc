#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/store/keyed_view.h"
#include "fuchsiadrum/store/store_era.h"

namespace fuchsiadrum::store {
namespace {

using Values = std::map<std::string, std::string>;

/// Plain model of one keyed stream of the store. It keeps deleted records as
/// well, so that a reader's values can be compared with them.
class KeyedLog {
 public:
  void Write(const std::string& key, std::optional<std::string> value) {
    if (value) {
      this->newest[key] = this->End();
    } else {
      this->newest.erase(key);
    }
    this->records.push_back(
        {.key = key, .value = std::move(value), .offset = this->End()});
  }

  void TrimBefore(uint64_t offset) {
    this->first = std::max(this->first, offset);
  }

  void SaveCopy() {
    this->copy_end = this->End();
    this->copy_first = this->first;
  }

  void RestoreCopy() {
    this->records.resize(this->copy_end);
    this->first = this->copy_first;
    this->newest.clear();
    for (const KeyedRecord& record : this->records) {
      if (record.value) {
        this->newest[record.key] = record.offset;
      } else {
        this->newest.erase(record.key);
      }
    }
    ++this->era;
  }

  NewestPage ReadNewest(const std::string& after_key, size_t limit) const {
    NewestPage page = {.end_offset = this->End()};
    for (auto it = this->newest.upper_bound(after_key);
         it != this->newest.end(); ++it) {
      if (page.records.size() == limit) {
        page.more = true;
        break;
      }
      page.records.push_back(this->records[it->second]);
    }
    return page;
  }

  /// Empty if the record at `from` was deleted.
  std::optional<TailPage> ReadTail(uint64_t from, size_t limit) const {
    if (from < this->first) return std::nullopt;
    TailPage page = {.next_offset = from, .end_offset = this->End()};
    while (page.next_offset < this->End() && page.records.size() < limit) {
      page.records.push_back(this->records[page.next_offset++]);
    }
    return page;
  }

  bool Holds(const KeyedRecord& record) const {
    return record.offset < this->End() &&
           this->records[record.offset].key == record.key &&
           this->records[record.offset].value == record.value;
  }

  /// True if a record after `offset` and before `end` has the key.
  bool IsReplaced(const std::string& key, uint64_t offset, uint64_t end) const {
    for (uint64_t at = offset + 1; at < std::min(end, this->End()); ++at) {
      if (this->records[at].key == key) return true;
    }
    return false;
  }

  Values Newest() const {
    Values values;
    for (const auto& [key, offset] : this->newest) {
      values[key] = *this->records[offset].value;
    }
    return values;
  }

  uint64_t First() const { return this->first; }
  uint64_t End() const { return this->records.size(); }
  uint64_t Era() const { return this->era; }

 private:
  std::vector<KeyedRecord> records;
  std::map<std::string, uint64_t> newest;
  uint64_t first = 0;
  uint64_t era = 1;
  uint64_t copy_end = 0;
  uint64_t copy_first = 0;
};

/// One read of the view. Its answer may be made and arrive much later.
struct Read {
  KeyedView::NextRead next;
  uint64_t generation = 0;
  uint64_t begun_era = 0;
  uint64_t begun_end = 0;
  /// The rest is set when the answer is made.
  bool answered = false;
  uint64_t era = 0;
  NewestPage newest;
  /// Empty if the tail has expired.
  std::optional<TailPage> tail;
  Values expected;
};

/// Random runs of a view and a log that is written, deleted in part and
/// restored from older copies, with answers that are late or lost.
class KeyedViewRandomTest : public testing::TestWithParam<uint64_t> {
 protected:
  Rng rng{GetParam()};
  KeyedLog log;
  StoreEra store_era;
  KeyedView view{[this](const KeyedRecord& record) { this->OnChange(record); }};
  Values values;
  /// Values when the store was last found to be restored.
  Values earlier_values;
  /// Values that the last restore lost.
  Values lost_values;
  /// Newest record of each key that the view has used in this era.
  std::map<std::string, uint64_t> used;
  /// Records that changed values since the present answer arrived.
  std::vector<KeyedRecord> changes;
  std::optional<Read> read;
  uint64_t written = 0;
  uint64_t checks = 0;
  const double loss = GetParam() % 3 == 0 ? 0.3 : 0.02;
  const double restore_chance = GetParam() % 2 == 0 ? 0.002 : 0.02;
  const size_t max_page = 1 + GetParam() % 5;

  void SetUp() override {
    // A dropped key is reported with offset 0, which no deletion then has.
    this->log.Write("a", "first");
    this->log.SaveCopy();
    this->store_era.Subscribe([this](auto /*before*/, auto /*now*/) {
      this->earlier_values = this->values;
      this->used.clear();
      this->view.OnNewEra();
    });
  }

  void OnChange(const KeyedRecord& record) {
    if (record.value) {
      this->values[record.key] = *record.value;
    } else {
      this->values.erase(record.key);
    }
    this->changes.push_back(record);
  }

  std::string RandomKey() {
    return std::string(1, "abcdefg"[this->rng.Below(7)]);
  }
  size_t RandomLimit() { return 1 + this->rng.Below(this->max_page); }

  void ChangeLog() {
    const std::string key = this->RandomKey();
    const auto lost = this->lost_values.find(key);
    if (lost != this->lost_values.end() && this->rng.Chance(0.5)) {
      // The owner of the lost record writes it again.
      this->log.Write(key, lost->second);
      this->lost_values.erase(lost);
    } else if (this->rng.Chance(0.3)) {
      this->log.Write(key, std::nullopt);
    } else {
      this->log.Write(key, std::to_string(++this->written));
    }
  }

  void DisturbLog() {
    if (this->rng.Chance(0.02)) {
      this->log.TrimBefore(this->rng.Below(this->log.End() + 1));
    }
    if (this->rng.Chance(0.02)) this->log.SaveCopy();
    if (this->rng.Chance(this->restore_chance)) {
      this->lost_values = this->log.Newest();
      this->log.RestoreCopy();
    }
    // Another caller of the same process learns the era.
    if (this->rng.Chance(0.05)) {
      this->store_era.OnAnswer(this->log.Era(), this->store_era.Generation());
    }
  }

  void BeginRead() {
    this->read = Read{.next = this->view.Next(),
                      .generation = this->store_era.Generation(),
                      .begun_era = this->log.Era(),
                      .begun_end = this->log.End()};
  }

  void MakeAnswer() {
    Read& answer = *this->read;
    answer.answered = true;
    answer.era = this->log.Era();
    answer.expected = this->log.Newest();
    if (answer.next.tail) {
      answer.tail = this->log.ReadTail(answer.next.from, this->RandomLimit());
    } else {
      answer.newest =
          this->log.ReadNewest(answer.next.after_key, this->RandomLimit());
    }
  }

  /// Applies an answer as gateway::StreamFollower does.
  void TakeAnswer() {
    const Read answer = *this->read;
    this->read.reset();
    const EraVerdict verdict =
        this->store_era.OnAnswer(answer.era, answer.generation);
    if (verdict != EraVerdict::kCurrent) return;

    this->changes.clear();
    if (!answer.next.tail) {
      this->view.OnNewest(answer.newest);
    } else if (answer.tail) {
      this->view.OnTail(*answer.tail);
    } else {
      this->view.OnExpired();
    }
    this->CheckChanges(answer);
    this->CheckValues(answer);
  }

  /// The read is given up, and the view may start again with the newest
  /// records.
  void LoseAnswer() {
    this->read.reset();
    if (this->rng.Chance(0.2)) this->view.OnExpired();
  }

  void CheckChanges(const Read& answer) {
    // Until the process hears of the restored copy it can't do better.
    if (this->store_era.Current() != this->log.Era()) return;
    uint64_t end =
        answer.begun_era == this->log.Era() ? answer.begun_end : uint64_t{0};
    if (answer.tail) end = std::min(end, answer.tail->next_offset);
    std::map<std::string, uint64_t> changed;
    for (const KeyedRecord& record : this->changes) {
      // A key that is in none of the pages is dropped without a record.
      if (!record.value && !this->log.Holds(record)) continue;
      ASSERT_TRUE(this->log.Holds(record))
          << record.key << " of an earlier copy";
      const auto before = this->used.find(record.key);
      ASSERT_TRUE(before == this->used.end() || before->second < record.offset)
          << record.key << " went back to offset " << record.offset;
      this->used[record.key] = record.offset;
      changed[record.key] = record.offset;
    }
    for (const auto& [key, offset] : changed) {
      ASSERT_FALSE(this->log.IsReplaced(key, offset, end))
          << key << " at offset " << offset << " was replaced before the read";
    }
  }

  void CheckValues(const Read& answer) {
    if (answer.era != this->log.Era()) return;
    if (!this->view.IsConsistent() || this->view.IsBehind()) return;
    ++this->checks;
    if (this->view.HasUnconfirmed()) {
      Values others = this->values;
      // Keys that the copy lacks may keep the values from before, no others.
      std::erase_if(others, [&](const auto& item) {
        const auto earlier = this->earlier_values.find(item.first);
        return !answer.expected.contains(item.first) &&
               earlier != this->earlier_values.end() &&
               earlier->second == item.second;
      });
      ASSERT_EQ(others, answer.expected);
      if (this->rng.Chance(0.9)) return;
      this->view.DropUnconfirmed();
      ASSERT_FALSE(this->view.HasUnconfirmed());
    }
    ASSERT_EQ(this->values, answer.expected);
  }

  void Step() {
    if (this->rng.Chance(0.15)) this->ChangeLog();
    this->DisturbLog();
    if (!this->read) {
      this->BeginRead();
    } else if (!this->read->answered) {
      if (this->rng.Chance(0.8)) this->MakeAnswer();
    } else if (this->rng.Chance(this->loss)) {
      this->LoseAnswer();
    } else if (this->rng.Chance(0.6)) {
      this->TakeAnswer();
    }
  }

  /// Reads without writes and faults until nothing is left to read.
  void ReadToEnd() {
    // Its answer may have been made before the last write.
    this->read.reset();
    const uint64_t checks_before = this->checks;
    // The log has fewer records, and an era may need three answers.
    const uint64_t max_reads = this->log.End() + 100;
    for (uint64_t reads = 0; reads < max_reads; ++reads) {
      if (!this->read) this->BeginRead();
      if (!this->read->answered) this->MakeAnswer();
      this->TakeAnswer();
      if (this->HasFatalFailure() || this->checks > checks_before) return;
    }
    FAIL() << "not consistent after " << max_reads << " reads";
  }
};

// A reader keeps values that were replaced, or lacks acknowledged ones, after
// pages that are no snapshot, deleted records or a restored store.
TEST_P(KeyedViewRandomTest, Values_WhenConsistent_AreThoseOfThePresentLog) {
  for (int step = 0; step < 5000; ++step) {
    this->Step();
    ASSERT_FALSE(this->HasFatalFailure()) << "step " << step;
  }
  // The reader must not only be right when it says so, it must get there.
  ASSERT_NO_FATAL_FAILURE(this->ReadToEnd());
  this->view.DropUnconfirmed();
  EXPECT_EQ(this->values, this->log.Newest());
  EXPECT_GT(this->checks, 20U) << "the run has checked too little";
}

INSTANTIATE_TEST_SUITE_P(Seeds, KeyedViewRandomTest,
                         testing::Range<uint64_t>(1, 301));

}  // namespace
}  // namespace fuchsiadrum::store
