#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fuchsiadrum/core/reason.h"
#include "schema/catalogue.pb.h"
#include "schema/record.pb.h"

namespace fuchsiadrum::catalogue {

/// Kind of an entry as used in keys, for example "caller-key"; empty: the
/// entry has no body.
std::string_view KindOf(const pb::CatalogueEntry& entry);

/// Key of an entry: "kind/name".
std::string KeyOf(const pb::CatalogueEntry& entry);

/// Key of a kind and a name.
std::string MakeKey(std::string_view kind, std::string_view name);

/// Checks the contents of an entry; nullopt: it is valid. The same rules hold
/// before the append and in the fold.
std::optional<Reason> CheckEntry(const pb::CatalogueEntry& entry);

/// Checks an edit without the catalogue's present state: fields, key and
/// entry; nullopt: it is valid.
std::optional<Reason> CheckEdit(const pb::CatalogueEdit& edit);

}  // namespace fuchsiadrum::catalogue
