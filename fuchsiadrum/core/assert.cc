#include "fuchsiadrum/core/assert.h"

#include <cstdio>
#include <cstdlib>

namespace fuchsiadrum {
namespace {

void AbortOnAssert(const char* file, int line, const char* text) {
  std::fprintf(stderr, "assert: %s:%d: %s\n", file, line, text);
  std::abort();
}

AssertHandler current_handler = AbortOnAssert;

}  // namespace

void SetAssertHandler(AssertHandler handler) { current_handler = handler; }

void ThrowOnAssert(const char* file, int line, const char* text) {
  throw InvariantViolation(std::string(file) + ":" + std::to_string(line) +
                           ": " + text);
}

namespace detail {
void FailAssert(const char* file, int line, const char* text) {
  current_handler(file, line, text);
}
}  // namespace detail

}  // namespace fuchsiadrum
