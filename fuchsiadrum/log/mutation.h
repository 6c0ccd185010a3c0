#pragma once

namespace fuchsiadrum::log {

/// A rule that is broken on purpose, to show that the checks of the bench can
/// fail. Only the bench sets anything but kNone.
enum class Mutation {
  kNone,
  /// The appender numbers a new batch like the one before.
  kReuseSequence,
  /// The catalogue accepts an edit that is based on an older revision.
  kAcceptOlderRevision,
  /// A snapshot is used as soon as one chunk arrives, whatever is missing.
  kTrustPartialSnapshot,
  /// A log that starts above offset 0 is taken for an empty state.
  kEmptyLogIsEmptyState,
  /// A record of an unknown kind is skipped.
  kSkipUnknownRecord,
};

}  // namespace fuchsiadrum::log
