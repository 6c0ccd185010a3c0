#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "fuchsiadrum/core/reason.h"
#include "schema/catalogue.pb.h"
#include "schema/record.pb.h"

namespace fuchsiadrum::node {

/// Converts between catalogue entries and the JSON of the admin port: the
/// protobuf JSON form, in which bytes fields may also be given in hex under
/// their name followed by "Hex".
class EntryJson {
 public:
  /// The entry of a JSON object; nullopt: malformed, see LastReason.
  std::optional<pb::CatalogueEntry> Parse(const nlohmann::json& json);
  /// The JSON form of an entry.
  static nlohmann::json Write(const pb::CatalogueEntry& entry);
  /// An edit from the body of a request; nullopt: malformed, see LastReason.
  std::optional<pb::CatalogueEdit> ParseEdit(const nlohmann::json& json);
  /// What was wrong with the last input.
  const Reason& LastReason() const { return this->last_reason; }

 private:
  Reason last_reason;
};

}  // namespace fuchsiadrum::node
