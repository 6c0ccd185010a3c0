#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsiadrum {

/// 64-bit hash (XXH3), equal on every machine. Not for secrets.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// SHA-256 digest, 32 bytes.
std::string Sha256(std::string_view bytes);

/// HMAC-SHA-256, 32 bytes.
std::string Hmac(std::string_view key, std::string_view bytes);

/// Compares two MACs in constant time.
bool MacEqual(std::string_view a, std::string_view b);

/// Lower-case hex of the bytes.
std::string ToHex(std::string_view bytes);

/// Bytes of a hex text; empty if it is malformed.
std::string FromHex(std::string_view hex);

/// Ed25519 signature by a 32-byte private key; empty on failure.
std::string SignEd25519(std::string_view private_key, std::string_view bytes);

/// True if the signature is valid for the 32-byte public key.
bool VerifyEd25519(std::string_view public_key, std::string_view bytes,
                   std::string_view signature);

/// Public key of a 32-byte private key; empty on failure.
std::string PublicKeyEd25519(std::string_view private_key);

}  // namespace fuchsiadrum
