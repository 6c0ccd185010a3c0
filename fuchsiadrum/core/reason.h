#pragma once

#include <string>

namespace fuchsiadrum {

/// Why the last operation of an object gave no result.
struct Reason {
  /// Step in which the error arose, for example "reserve".
  std::string step;
  /// VM or upstream concerned; empty: none.
  std::string peer;
  /// Short sentence.
  std::string text;

  /// "step (peer): text", for log lines.
  std::string ToString() const;
};

}  // namespace fuchsiadrum
