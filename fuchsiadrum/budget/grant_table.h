#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// What one holder has recorded for one organisation: totals since its start.
struct RecordedGrant {
  Tokens granted;
  /// Settled spend when the record was written; a lower bound.
  Tokens spent;
  /// Tokens per second that the holder's callers asked for.
  Tokens demand;
  /// Total that the holder uses while it reaches the store.
  Tokens ceiling;
};

/// The newest recorded grant of every holder. It is only ever replaced record
/// by record, so readers that start at different offsets agree.
class GrantTable {
 public:
  /// Sums over all holders of one organisation.
  struct Sums {
    Tokens granted;
    Tokens spent;
  };

  void Set(TimePoint now, const std::string& organisation,
           const std::string& holder, const RecordedGrant& grant);
  void Erase(const std::string& organisation, const std::string& holder);

  Sums SumsOf(const std::string& organisation) const;
  /// Demand of the other holders whose record changed lately.
  Tokens DemandOfOthers(TimePoint now, const std::string& organisation,
                        const std::string& holder) const;
  std::vector<std::string> Organisations() const;
  /// Zero without a record.
  RecordedGrant Of(const std::string& organisation,
                   const std::string& holder) const;

 private:
  struct Entry {
    RecordedGrant grant;
    TimePoint changed_at;
  };
  struct Account {
    std::map<std::string, Entry> grants;
    Sums sums;
  };

  static void Add(Sums& sums, const RecordedGrant& grant, int sign);

  std::map<std::string, Account> accounts;
};

}  // namespace fuchsiadrum::budget
