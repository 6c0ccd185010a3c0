#include "bench/fakes/fake_log.h"

#include <utility>

namespace fuchsiadrum::bench {

uint64_t FakeLog::Append(std::string batch) {
  this->batches.push_back(std::move(batch));
  return this->End() - 1;
}

std::optional<std::string> FakeLog::Read(uint64_t offset) const {
  if (offset < this->first || offset >= this->End()) return std::nullopt;
  return this->batches[offset - this->first];
}

void FakeLog::TrimBefore(uint64_t offset) {
  while (this->first < offset && !this->batches.empty()) {
    this->batches.pop_front();
    ++this->first;
  }
}

}  // namespace fuchsiadrum::bench
