#include "fuchsiadrum/catalogue/edit_signature.h"

#include <cstdint>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::catalogue {
namespace {

// Keeps a signature from being valid for bytes of another kind.
constexpr std::string_view kDomain = "fuchsiadrum catalogue edit 1";

void AddNumber(std::string& out, uint64_t value) {
  for (unsigned shift = 0; shift < 64; shift += 8) {
    out.push_back(static_cast<char>((value >> shift) & 0xFFU));
  }
}

void AddBytes(std::string& out, std::string_view bytes) {
  AddNumber(out, bytes.size());
  out.append(bytes);
}

}  // namespace

std::string CanonicalEdit(const pb::CatalogueEdit& edit) {
  std::string out;
  AddBytes(out, kDomain);
  AddBytes(out, edit.key());

  // Entries have no map fields, so that their bytes are in field order. A
  // removal differs from an empty entry by the flag.
  AddNumber(out, edit.has_entry() ? 1 : 0);
  AddBytes(out, edit.entry().SerializeAsString());

  AddNumber(out, edit.base_revision());
  AddBytes(out, edit.author());
  AddBytes(out, edit.shift());
  AddBytes(out, edit.reason());
  AddNumber(out, static_cast<uint64_t>(edit.unix_ms()));
  AddBytes(out, edit.edit_id());
  return out;
}

bool SignEdit(pb::CatalogueEdit& edit, std::string_view private_key) {
  const std::string signature = SignEd25519(private_key, CanonicalEdit(edit));
  if (signature.empty()) return false;
  edit.set_signature(signature);
  return true;
}

bool VerifyEdit(const pb::CatalogueEdit& edit, std::string_view public_key) {
  return VerifyEd25519(public_key, CanonicalEdit(edit), edit.signature());
}

}  // namespace fuchsiadrum::catalogue
