#include "fuchsiadrum/serving/upstream_crash.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::serving {

std::string CrashKey(const UpstreamIncarnation& upstream) {
  return upstream.id + '@' + std::to_string(upstream.started_unix_ms);
}

bool Quarantine::Concerns(uint64_t organisation,
                          const std::vector<uint64_t>& request_parts) const {
  const bool is_evidence =
      this->organisations.size() > 1 ||
      std::ranges::binary_search(this->organisations, organisation);
  return is_evidence && !this->parts.empty() &&
         std::ranges::all_of(this->parts, [&](uint64_t part) {
           return std::ranges::find(request_parts, part) != request_parts.end();
         });
}

std::string QuarantineKey(const std::vector<uint64_t>& parts) {
  // Keys of the store are short.
  constexpr size_t kMaxListed = 8;
  std::string key;
  if (parts.size() > kMaxListed) {
    for (const uint64_t part : parts) key += std::to_string(part) + '+';
    return std::to_string(parts.size()) + "-parts-" +
           std::to_string(Hash64(key));
  }
  for (const uint64_t part : parts) {
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%llx",
                  static_cast<unsigned long long>(part));
    if (!key.empty()) key += '+';
    key += text.data();
  }
  return key;
}

}  // namespace fuchsiadrum::serving
