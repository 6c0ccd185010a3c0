#pragma once

#include <optional>
#include <string_view>

namespace fuchsiadrum::budget {

/// Rules that the bench can break on purpose, to show that its checks find the
/// fault. The daemon always runs with kNone.
enum class Mutation {
  kNone,
  kSkipWitness,       // the holder ignores its ceilings
  kIgnoreSeal,        // the holder does not settle a sealed grant
  kAckAfterSeal,      // the witness acknowledges raises after its seal
  kNoFreeze,          // ceilings rise while a witness is being replaced
  kNoTerm,            // the fold accepts a seal of an earlier term
  kDoubleTransfer,    // the receiver counts a repeated transfer again
  kReturnBelowSpent,  // the holder returns tokens that it has used
  kForgetUnknown,     // a reservation of unknown outcome becomes available
};

/// Name as on the bench's command line, for example "skip-witness".
std::string_view MutationName(Mutation mutation);

/// The mutation of a name; nullopt: there is none.
std::optional<Mutation> MutationByName(std::string_view name);

}  // namespace fuchsiadrum::budget
