#include "fuchsiadrum/budget/mutation.h"

#include <array>

namespace fuchsiadrum::budget {
namespace {

constexpr std::array<std::string_view, 9> kNames = {
    "none",          "skip-witness", "ignore-seal",     "ack-after-seal",
    "no-freeze",     "no-term",      "double-transfer", "return-below-spent",
    "forget-unknown"};

}  // namespace

std::string_view MutationName(Mutation mutation) {
  return kNames.at(static_cast<size_t>(mutation));
}

std::optional<Mutation> MutationByName(std::string_view name) {
  for (size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] == name) return static_cast<Mutation>(i);
  }
  return std::nullopt;
}

}  // namespace fuchsiadrum::budget
