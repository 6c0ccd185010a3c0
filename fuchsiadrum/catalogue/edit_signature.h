#pragma once

#include <string>
#include <string_view>

#include "schema/record.pb.h"

namespace fuchsiadrum::catalogue {

/// Bytes that an author signs: each field of the edit but the signature, in
/// the order of the schema, with its length before it. They depend neither on
/// the protobuf version nor on unknown fields of the edit itself.
std::string CanonicalEdit(const pb::CatalogueEdit& edit);

/// Sets the signature by a 32-byte Ed25519 private key; false on failure.
bool SignEdit(pb::CatalogueEdit& edit, std::string_view private_key);

/// True if the signature is valid for the 32-byte public key.
bool VerifyEdit(const pb::CatalogueEdit& edit, std::string_view public_key);

}  // namespace fuchsiadrum::catalogue
