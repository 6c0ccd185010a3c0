#include "fuchsiadrum/request/issued_key.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace fuchsiadrum::request {
namespace {

constexpr std::string_view kPrefix = "fd1-";
constexpr size_t kRandomDigits = 32;

/// Reads a number up to the next '-' and removes both from `rest`.
template <typename Number>
bool TakeNumber(std::string_view& rest, Number& number) {
  const size_t end = rest.find('-');
  if (end == std::string_view::npos || end == 0) return false;

  const auto [stop, error] =
      std::from_chars(rest.data(), rest.data() + end, number);
  if (error != std::errc() || stop != rest.data() + end) return false;

  rest.remove_prefix(end + 1);
  return true;
}

}  // namespace

std::string IssueKey(uint32_t shard, LogPosition term, Rng& rng) {
  std::array<char, kRandomDigits + 1> random{};
  std::snprintf(random.data(), random.size(), "%016llx%016llx",
                static_cast<unsigned long long>(rng.Next()),   // NOLINT
                static_cast<unsigned long long>(rng.Next()));  // NOLINT
  return std::string(kPrefix) + std::to_string(shard) + "-" +
         std::to_string(term.offset) + "-" + std::to_string(term.index) + "-" +
         random.data();
}

std::optional<IssuedKey> ParseIssuedKey(std::string_view key) {
  if (!key.starts_with(kPrefix)) return std::nullopt;
  key.remove_prefix(kPrefix.size());

  IssuedKey issued;
  if (!TakeNumber(key, issued.shard) || !TakeNumber(key, issued.term.offset) ||
      !TakeNumber(key, issued.term.index)) {
    return std::nullopt;
  }
  if (key.size() != kRandomDigits) return std::nullopt;
  return issued;
}

}  // namespace fuchsiadrum::request
