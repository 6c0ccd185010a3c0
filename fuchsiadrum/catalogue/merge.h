#pragma once

#include <optional>
#include <string>
#include <vector>

#include "schema/catalogue.pb.h"

namespace fuchsiadrum::catalogue {

/// Names of the fields in which two entries differ, for example "owner" or
/// "upstream.draining". A change of kind is one field, "body".
std::vector<std::string> ChangedFields(const pb::CatalogueEntry& from,
                                       const pb::CatalogueEntry& to);

/// Merges two changes of one entry. nullopt: both change the same field in
/// different ways, or an entry was removed.
std::optional<pb::CatalogueEntry> MergeEntries(const pb::CatalogueEntry& base,
                                               const pb::CatalogueEntry& theirs,
                                               const pb::CatalogueEntry& mine);

}  // namespace fuchsiadrum::catalogue
