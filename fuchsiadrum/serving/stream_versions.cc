#include "fuchsiadrum/serving/stream_versions.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::serving {

void StreamVersions::SetServices(std::set<std::string> resumable,
                                 Duration lifetime) {
  this->resumable_services = std::move(resumable);
  // Streams that began under the version before may be taken up for longer.
  this->options.lifetime = std::max(this->options.lifetime, lifetime);
}

void StreamVersions::OnEntries(
    TimePoint now,
    const std::map<std::string, std::set<std::string>>& versions) {
  const bool has_pause =
      now - this->entries_at > this->options.max_entries_pause;
  this->entries_at = now;
  for (const auto& [name, present] : versions) this->services[name];
  for (auto& [name, service] : this->services) {
    const auto found = versions.find(name);
    service.present =
        found == versions.end() ? std::set<std::string>() : found->second;
    // A version may have come and gone between two reads.
    if (has_pause) service.absent_since.clear();
    for (const std::string& version : service.present) {
      const auto since = service.absent_since.find(version);
      if (since == service.absent_since.end()) continue;
      if (now - since->second > this->options.lifetime) {
        service.returned_at[version] = now;
      }
      service.absent_since.erase(since);
    }
    if (!service.record) continue;
    std::set<std::string> listed = service.record->others;
    listed.insert(service.record->base);
    for (const std::string& version : listed) {
      if (service.present.contains(version)) continue;
      service.absent_since.try_emplace(version, now);
    }
  }
  this->DropOld(now);
}

void StreamVersions::OnRecordsRead(TimePoint begun) {
  this->records_at = begun;
}

void StreamVersions::OnStoreRestored(TimePoint now) {
  this->restored_at = now;
  for (auto& [attempt, stream] : this->own) {
    if (!stream.has_record) continue;
    stream.is_recorded = false;
    this->unrecorded.insert(attempt);
  }
  for (auto& [name, service] : this->services) {
    service.is_stored = false;
    // A copy may lack a version whose streams are being taken up.
    service.absent_since.clear();
  }
}

void StreamVersions::OnService(const ServiceVersions& record) {
  Service& service = this->services[record.service];
  service.record = record;
  service.is_stored = true;
}

void StreamVersions::OnServiceDeleted(const std::string& service) {
  this->services[service].record.reset();
  this->services[service].is_stored = false;
}

void StreamVersions::OnStream(TimePoint now, const std::string& attempt,
                              const StreamOrigin& origin) {
  this->records[attempt] = {.origin = origin, .read_at = now};
}

void StreamVersions::OnStreamDeleted(const std::string& attempt) {
  this->records.erase(attempt);
}

std::string StreamVersions::StreamName(const std::string& attempt) {
  if (attempt.empty()) return {};
  std::array<char, 17> name{};
  std::snprintf(name.data(), name.size(), "%016llx",
                static_cast<unsigned long long>(Hash64(attempt)));
  return name.data();
}

bool StreamVersions::HasVersions(const std::string& service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return false;
  const auto is_named = [](const std::string& version) {
    return !version.empty();
  };
  const Service& known = found->second;
  if (std::ranges::any_of(known.present, is_named)) return true;
  return known.record && (is_named(known.record->base) ||
                          std::ranges::any_of(known.record->others, is_named));
}

bool StreamVersions::MayBegin(const UpstreamEntry& entry) const {
  if (!this->HasVersions(entry.service)) return true;
  const Service& service = this->services.at(entry.service);
  // Without a record of the service, each stream has one.
  return !service.record || service.record->Lists(entry.version);
}

bool StreamVersions::NeedsRecord(TimePoint now,
                                 const StreamOrigin& origin) const {
  if (!this->HasVersions(origin.service)) return false;
  const Service& service = this->services.at(origin.service);
  const auto returned = service.returned_at.find(origin.version);
  const bool may_be_replaced = returned != service.returned_at.end() &&
                               returned->second > this->records_at;
  return !service.record || service.record->base != origin.version ||
         may_be_replaced ||
         now - this->entries_at > this->options.max_entries_age;
}

bool StreamVersions::Begin(TimePoint now, const std::string& attempt,
                           const StreamOrigin& origin) {
  const auto before = this->own.find(attempt);
  // An earlier upstream of the same attempt may be in the record.
  const bool needs = (before != this->own.end() && before->second.has_record) ||
                     this->NeedsRecord(now, origin);
  this->own[attempt] = {.origin = origin,
                        .begun_at = now,
                        .is_recorded = false,
                        .has_record = needs};
  if (needs) {
    this->unrecorded.insert(attempt);
  } else {
    this->unrecorded.erase(attempt);
  }
  return needs;
}

bool StreamVersions::IsRecorded(const std::string& attempt) const {
  const auto found = this->own.find(attempt);
  return found != this->own.end() && found->second.is_recorded;
}

FoundOrigin StreamVersions::Find(TimePoint now, const std::string& service,
                                 const std::string& attempt) const {
  const auto own = this->own.find(attempt);
  const auto recorded = this->records.find(attempt);
  if (!this->HasVersions(service)) {
    // Another gateway may have read of a version that this one does not know.
    const bool is_versioned = recorded != this->records.end() &&
                              !recorded->second.origin.version.empty();
    if (!is_versioned) return {.knowledge = OriginKnowledge::kUnrestricted};
    return {.knowledge = OriginKnowledge::kKnown,
            .origin = recorded->second.origin};
  }
  if (own != this->own.end()) {
    return {.knowledge = OriginKnowledge::kKnown, .origin = own->second.origin};
  }
  if (recorded != this->records.end()) {
    return {.knowledge = OriginKnowledge::kKnown,
            .origin = recorded->second.origin};
  }
  const Service& known = this->services.at(service);
  if (!known.record || known.record->base.empty()) return {};
  // Records that a restored store has lost may be missing.
  const bool is_incomplete =
      this->restored_at &&
      now - *this->restored_at < this->options.rewrite_time;
  const bool is_single =
      known.record->others.empty() &&
      std::ranges::all_of(known.present, [&](const std::string& version) {
        return version == known.record->base;
      });
  if (!is_single && (attempt.empty() || is_incomplete)) return {};
  return {.knowledge = OriginKnowledge::kKnown,
          .origin = {.service = service, .version = known.record->base}};
}

bool StreamVersions::IsGone(TimePoint now, const Service& service,
                            const std::string& version) const {
  const auto since = service.absent_since.find(version);
  // Another gateway may have sent to its upstreams for as long as it takes its
  // entries for current.
  return since != service.absent_since.end() &&
         now - this->entries_at <= this->options.max_entries_pause &&
         now - since->second >
             this->options.lifetime + this->options.max_entries_age;
}

std::vector<ServiceVersions> StreamVersions::PlanServices(TimePoint now) const {
  std::vector<ServiceVersions> due;
  for (const auto& item : this->services) {
    const std::string& name = item.first;
    const Service& service = item.second;
    if (!this->resumable_services.contains(name) || service.present.empty() ||
        !this->HasVersions(name)) {
      continue;
    }
    // Streams of a base version without a name could not be taken up.
    const std::string& first = service.present.begin()->empty()
                                   ? *service.present.rbegin()
                                   : *service.present.begin();
    ServiceVersions next = service.record.value_or(
        ServiceVersions{.service = name, .base = first});
    for (const std::string& version : service.present) {
      if (!next.Lists(version)) next.others.insert(version);
    }
    std::erase_if(next.others, [&](const std::string& version) {
      return this->IsGone(now, service, version);
    });
    const auto successor =
        std::ranges::find_if(next.others, [&](const std::string& version) {
          return !version.empty() && service.present.contains(version);
        });
    if (this->IsGone(now, service, next.base) &&
        successor != next.others.end()) {
      next.base = *successor;
      next.others.erase(successor);
    }
    if (!service.is_stored || next != *service.record) due.push_back(next);
  }
  return due;
}

std::vector<std::pair<std::string, StreamOrigin>> StreamVersions::PlanStreams(
    size_t most) const {
  std::vector<std::pair<std::string, StreamOrigin>> due;
  for (const std::string& attempt : this->unrecorded) {
    if (due.size() >= most) break;
    due.emplace_back(attempt, this->own.at(attempt).origin);
  }
  return due;
}

std::vector<std::string> StreamVersions::PlanDeletions(TimePoint now,
                                                       size_t most) const {
  // The gateway that began a stream deletes its record first; the others delete
  // what a dead one has left.
  constexpr int kForeignFactor = 4;
  std::vector<std::string> due;
  for (const auto& [attempt, record] : this->records) {
    if (due.size() >= most) break;
    const Duration age = now - record.read_at;
    const bool is_old = this->own.contains(attempt)
                            ? age > this->options.lifetime
                            : age > kForeignFactor * this->options.lifetime;
    if (is_old) due.push_back(attempt);
  }
  return due;
}

void StreamVersions::OnStreamsWritten(
    const std::vector<std::pair<std::string, StreamOrigin>>& written) {
  for (const auto& [attempt, origin] : written) {
    const auto found = this->own.find(attempt);
    if (found == this->own.end() || found->second.origin != origin) continue;
    found->second.is_recorded = true;
    this->unrecorded.erase(attempt);
  }
}

void StreamVersions::DropOld(TimePoint now) {
  // Twice the lifetime, so that the own records are deleted before.
  std::erase_if(this->own, [&](const auto& item) {
    const bool is_old = now - item.second.begun_at > 2 * this->options.lifetime;
    if (is_old) this->unrecorded.erase(item.first);
    return is_old;
  });
}

}  // namespace fuchsiadrum::serving
