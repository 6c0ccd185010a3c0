#pragma once

#include <string>
#include <string_view>

#include "schema/record.pb.h"

namespace fuchsiadrum::log {

/// Result of opening a batch that was read from the log.
enum class BatchCheck { kValid, kMalformed, kBadMac };

/// Serialises a batch and appends its MAC. The MAC is the last field of the
/// bytes, so that it can be checked without serialising again: a daemon of an
/// older version checks batches with fields that it does not know.
std::string SealBatch(const pb::Batch& batch, std::string_view fleet_key);

/// Checks the MAC and parses the batch. `batch` is unspecified unless the
/// result is kValid.
BatchCheck OpenBatch(std::string_view bytes, std::string_view fleet_key,
                     pb::Batch& batch);

}  // namespace fuchsiadrum::log
