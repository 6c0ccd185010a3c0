#include "fuchsiadrum/core/base64.h"

#include <openssl/evp.h>

namespace fuchsiadrum {

std::string ToBase64(const std::string& bytes) {
  // EVP_EncodeBlock writes 4 characters for each 3 bytes and a final zero.
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<size_t>(size));
  return out;
}

std::optional<std::string> FromBase64(const std::string& text) {
  if (text.size() % 4 != 0) return std::nullopt;
  if (text.empty()) return std::string();
  std::string out(text.size() / 4 * 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) return std::nullopt;

  // The decoder writes zeros for the padding.
  const size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
  out.resize(static_cast<size_t>(size) - padding);
  return out;
}

}  // namespace fuchsiadrum
