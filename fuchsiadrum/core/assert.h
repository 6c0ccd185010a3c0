#pragma once

#include <stdexcept>
#include <string>

namespace fuchsiadrum {

/// Thrown by the handler that benches and tests install.
class InvariantViolation : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

/// What a failed FD_ASSERT does. The default prints the text and aborts.
using AssertHandler = void (*)(const char* file, int line, const char* text);

/// Replaces the handler of the whole process. Not thread-safe: call it at the
/// start of the program.
void SetAssertHandler(AssertHandler handler);

/// A handler that throws InvariantViolation.
void ThrowOnAssert(const char* file, int line, const char* text);

namespace detail {
void FailAssert(const char* file, int line, const char* text);
}  // namespace detail

}  // namespace fuchsiadrum

/// Checks an invariant in every build type.
#define FD_ASSERT(condition, text)                                 \
  do {                                                             \
    if (!(condition)) {                                            \
      ::fuchsiadrum::detail::FailAssert(__FILE__, __LINE__, text); \
    }                                                              \
  } while (false)
