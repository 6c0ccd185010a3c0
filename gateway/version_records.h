#pragma once

#include <optional>
#include <string>
#include <variant>

#include "fuchsiadrum/serving/stream_versions.h"
#include "fuchsiadrum/store/keyed_view.h"

namespace fuchsiadrum::gateway {

store::KeyedRecord EncodeServiceVersions(
    const serving::ServiceVersions& versions);
store::KeyedRecord EncodeStreamStart(const std::string& attempt,
                                     const serving::StreamOrigin& origin);
/// The record that deletes the origin of an attempt's stream.
store::KeyedRecord EncodeStreamEnd(const std::string& attempt);

/// What a record of the stream of versions says.
struct ServiceVersionsDeleted {
  std::string service;
};
struct StreamStarted {
  std::string attempt;
  serving::StreamOrigin origin;
};
struct StreamStartDeleted {
  std::string attempt;
};
using VersionEvent =
    std::variant<serving::ServiceVersions, ServiceVersionsDeleted,
                 StreamStarted, StreamStartDeleted>;

/// Returns nullopt if the record can't be read.
std::optional<VersionEvent> DecodeVersionRecord(
    const store::KeyedRecord& record);

}  // namespace fuchsiadrum::gateway
