#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiadrum/serving/shared_limit.h"
#include "fuchsiadrum/store/keyed_view.h"

namespace fuchsiadrum::gateway {

/// The records of an update by this holder, in the order in which they are
/// written.
std::vector<store::KeyedRecord> EncodeLimitUpdate(
    const serving::LimitUpdate& update, const std::string& holder);

/// What a record of the stream of limits says.
struct LimitDeleted {
  std::string upstream;
};
struct LeaseRenewed {
  std::string holder;
  uint64_t renewal = 0;
};
struct LeaseDeleted {
  std::string holder;
};
using LimitEvent = std::variant<serving::SharedLimit, LimitDeleted,
                                LeaseRenewed, LeaseDeleted>;

/// Returns nullopt if the record can't be read.
std::optional<LimitEvent> DecodeLimitRecord(const store::KeyedRecord& record);

}  // namespace fuchsiadrum::gateway
