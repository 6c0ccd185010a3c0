#include "fuchsiadrum/log/batch_cache.h"

namespace fuchsiadrum::log {

void BatchCache::Add(uint64_t from, const std::vector<std::string>& added) {
  // A scan restarts at a lower offset; the cache then holds newer batches only
  // until it is overtaken.
  if (from > this->End() || from < this->first) {
    this->batches.clear();
    this->bytes = 0;
    this->first = from;
  }

  uint64_t offset = from;
  for (const std::string& batch : added) {
    if (offset++ < this->End()) continue;
    this->batches.push_back(batch);
    this->bytes += batch.size();
  }

  while (this->bytes > this->max_bytes && this->batches.size() > 1) {
    this->bytes -= this->batches.front().size();
    this->batches.pop_front();
    ++this->first;
  }
}

std::vector<std::string> BatchCache::Read(uint64_t from, size_t max_batches,
                                          size_t max_read_bytes) const {
  std::vector<std::string> out;
  size_t read = 0;
  for (uint64_t at = from; at >= this->first && at < this->End(); ++at) {
    const std::string& batch = this->batches[at - this->first];
    read += batch.size();
    if (out.size() >= max_batches || (!out.empty() && read > max_read_bytes)) {
      break;
    }
    out.push_back(batch);
  }
  return out;
}

}  // namespace fuchsiadrum::log
