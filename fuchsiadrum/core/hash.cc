#include "fuchsiadrum/core/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <memory>

namespace fuchsiadrum {
namespace {

constexpr size_t kEd25519KeyBytes = 32;
constexpr size_t kEd25519SignatureBytes = 64;

using KeyPtr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using ContextPtr = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

const unsigned char* Data(std::string_view bytes) {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

KeyPtr PrivateKey(std::string_view key) {
  return {EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, Data(key),
                                       key.size()),
          EVP_PKEY_free};
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string Sha256(std::string_view bytes) {
  std::string out(SHA256_DIGEST_LENGTH, '\0');
  SHA256(Data(bytes), bytes.size(),
         reinterpret_cast<unsigned char*>(out.data()));
  return out;
}

std::string Hmac(std::string_view key, std::string_view bytes) {
  std::string out(SHA256_DIGEST_LENGTH, '\0');
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Data(bytes),
       bytes.size(), reinterpret_cast<unsigned char*>(out.data()), &size);
  return out;
}

bool MacEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string ToHex(std::string_view bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    out.push_back(kDigits[byte >> 4U]);
    out.push_back(kDigits[byte & 15U]);
  }
  return out;
}

std::string FromHex(std::string_view hex) {
  if (hex.size() % 2 != 0) return {};
  std::string out;
  for (size_t i = 0; i < hex.size(); i += 2) {
    const int high = HexDigit(hex[i]);
    const int low = HexDigit(hex[i + 1]);
    if (high < 0 || low < 0) return {};
    out.push_back(static_cast<char>(high * 16 + low));
  }
  return out;
}

std::string SignEd25519(std::string_view private_key, std::string_view bytes) {
  if (private_key.size() != kEd25519KeyBytes) return {};
  const KeyPtr key = PrivateKey(private_key);
  const ContextPtr context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  std::string out(kEd25519SignatureBytes, '\0');
  size_t size = out.size();
  if (!key || !context ||
      EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) !=
          1 ||
      EVP_DigestSign(context.get(),
                     reinterpret_cast<unsigned char*>(out.data()), &size,
                     Data(bytes), bytes.size()) != 1) {
    return {};
  }
  return out;
}

bool VerifyEd25519(std::string_view public_key, std::string_view bytes,
                   std::string_view signature) {
  if (public_key.size() != kEd25519KeyBytes ||
      signature.size() != kEd25519SignatureBytes) {
    return false;
  }
  const KeyPtr key(
      EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, Data(public_key),
                                  public_key.size()),
      EVP_PKEY_free);
  const ContextPtr context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  return key && context &&
         EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr,
                              key.get()) == 1 &&
         EVP_DigestVerify(context.get(), Data(signature), signature.size(),
                          Data(bytes), bytes.size()) == 1;
}

std::string PublicKeyEd25519(std::string_view private_key) {
  if (private_key.size() != kEd25519KeyBytes) return {};
  const KeyPtr key = PrivateKey(private_key);
  std::string out(kEd25519KeyBytes, '\0');
  size_t size = out.size();
  if (!key || EVP_PKEY_get_raw_public_key(
                  key.get(), reinterpret_cast<unsigned char*>(out.data()),
                  &size) != 1) {
    return {};
  }
  return out;
}

}  // namespace fuchsiadrum
