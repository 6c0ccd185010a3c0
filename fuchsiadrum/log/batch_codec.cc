#include "fuchsiadrum/log/batch_codec.h"

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::log {
namespace {

// Tag of field 5 (mac) with wire type 2, then the length of the MAC.
constexpr std::string_view kMacHeader = "\x2A\x20";
constexpr size_t kMacBytes = 32;
constexpr size_t kTrailerBytes = kMacHeader.size() + kMacBytes;

}  // namespace

std::string SealBatch(const pb::Batch& batch, std::string_view fleet_key) {
  pb::Batch body = batch;
  body.clear_mac();
  std::string bytes = body.SerializeAsString();

  const std::string mac = Hmac(fleet_key, bytes);
  bytes.append(kMacHeader);
  bytes.append(mac);
  return bytes;
}

BatchCheck OpenBatch(std::string_view bytes, std::string_view fleet_key,
                     pb::Batch& batch) {
  if (bytes.size() < kTrailerBytes) return BatchCheck::kMalformed;

  // The MAC is checked first: bytes of a stranger are not parsed.
  const size_t body_bytes = bytes.size() - kTrailerBytes;
  if (bytes.substr(body_bytes, kMacHeader.size()) != kMacHeader) {
    return BatchCheck::kMalformed;
  }
  const std::string mac = Hmac(fleet_key, bytes.substr(0, body_bytes));
  if (!MacEqual(mac, bytes.substr(body_bytes + kMacHeader.size()))) {
    return BatchCheck::kBadMac;
  }

  if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return BatchCheck::kMalformed;
  }
  return batch.writer().vm().empty() ? BatchCheck::kMalformed
                                     : BatchCheck::kValid;
}

}  // namespace fuchsiadrum::log
