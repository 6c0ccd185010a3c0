#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiadrum/serving/prompt_quarantine.h"
#include "fuchsiadrum/store/keyed_view.h"

namespace fuchsiadrum::gateway {

/// The records of an update.
std::vector<store::KeyedRecord> EncodeQuarantineUpdate(
    const serving::QuarantineUpdate& update);

/// What a record of the stream of quarantines says.
struct CrashDeleted {
  std::string key;
};
struct QuarantineDeleted {
  std::string key;
};
using QuarantineStreamEvent =
    std::variant<serving::UpstreamCrash, CrashDeleted, serving::Quarantine,
                 QuarantineDeleted>;

/// Returns nullopt if the record can't be read, or its key is not that of its
/// content.
std::optional<QuarantineStreamEvent> DecodeQuarantineRecord(
    const store::KeyedRecord& record);

}  // namespace fuchsiadrum::gateway
